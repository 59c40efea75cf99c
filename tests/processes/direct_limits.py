"""Real entries before an endpoint that names a limit: all entries together send it no more than that, also one that starts
meanwhile, the rest goes elsewhere, and the endpoint is used again after the limit has ended."""
import json
import pathlib
import sys
import threading
import time

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parents[2] / "scripts"))
sys.path.insert(0, str(pathlib.Path(__file__).resolve().parent))

from direct_entries import Entries, configuration  # noqa: E402
from fleet import call, wait_until  # noqa: E402
from platform_stand_in import Endpoint  # noqa: E402

ENTRIES = ["entry-1", "entry-2", "entry-3"]
LIMIT = 2.0
PLAY_SECONDS = 6.0
# The users' rule: one and a half times the limit in 4 s, and 5 requests, from half a second after an entry was told.
WINDOW_SECONDS = 4.0
ALLOWED = 1.5 * LIMIT * WINDOW_SECONDS + 5
TOLD_BEFORE_SECONDS = 0.5


def read(ports, number):
    headers = {"Host": "a.example", "Authorization": "Token k1", "X-Attempt-Id": f"id-{number}", "X-Time-Budget-Ms": "1200"}
    return call(ports["callers"], "GET", f"/read/{number}", None, headers)


class Callers:
    """Sends requests to one entry, one after another, until it is stopped."""

    def __init__(self, ports, first):
        self.ports = ports
        self.number = first
        self.answers = []
        self.stopped = False
        self.thread = threading.Thread(target=self.run, daemon=True)
        self.thread.start()

    def run(self):
        while not self.stopped:
            self.number += 1
            self.answers.append(read(self.ports, self.number))

    def stop(self):
        self.stopped = True
        self.thread.join()
        return self.answers


def most_in_window(arrivals):
    return max((sum(1 for other in arrivals if at <= other < at + WINDOW_SECONDS) for at in arrivals), default=0)


def play(all_ports, during=lambda: None):
    callers = [Callers(ports, 1_000_000 * (index + 1) + time.monotonic_ns() % 1_000_000) for index, ports in enumerate(all_ports)]
    until = time.monotonic() + PLAY_SECONDS
    during()
    wait_until("the end of the play", lambda: time.monotonic() >= until)
    return [answer for each in callers for answer in each.stop()]


def main():
    with Entries() as fleet:
        limited, other = Endpoint("e1"), Endpoint("e2")
        fleet.store.put("op", "config", configuration(1, ["k1"]))
        fleet.register(limited)
        fleet.register(other)
        all_ports = [fleet.start(name) for name in ENTRIES]
        for ports in all_ports:
            wait_until("ready", lambda: call(ports["readiness"], "GET", "/v1/ready")[0] == 200)
        # Each entry must know of the others: an entry reads the list of members again after a while.
        wait_until("all entries are heard", lambda: all(len(fleet.logged(name, "entry_heard")) >= 2 for name in ENTRIES))

        limited.limit = LIMIT
        wait_until("the first answer with a limit", lambda: read(all_ports[0], 1)[2] == "e1")
        wait_until("all entries know it", lambda: all(fleet.logged(name, "endpoint_limited") for name in ENTRIES))
        settled = time.monotonic() + TOLD_BEFORE_SECONDS

        def restart():
            fleet.processes["entry-3"].kill()
            fleet.processes["entry-3"].wait()
            fleet.start("entry-3")

        answers = play(all_ports[:2], restart)
        arrivals = [at for at in limited.arrivals if at >= settled]
        assert most_in_window(arrivals) <= ALLOWED, (most_in_window(arrivals), ALLOWED)
        assert len(arrivals) <= LIMIT * PLAY_SECONDS * 1.5, len(arrivals)
        assert arrivals, "the endpoint got nothing, so that nobody would learn of the end of its limit"
        assert all(status == 200 for status, _, _ in answers), [answer for answer in answers if answer[0] != 200][:3]
        assert fleet.logged("entry-3", "endpoint_limited"), "the entry that started was not told"
        page = json.loads(call(all_ports[0]["operations"], "GET", "/v1/limits")[2])
        assert page["entries"] == len(ENTRIES) and page["limits"][0]["endpoint"] == "e1", page
        assert page["limits"][0]["requests_per_second"] == LIMIT and page["limits"][0]["passed_over"] > 0, page

        other.limit = LIMIT
        play(all_ports[:2])
        since = time.monotonic()
        answers = play(all_ports[:2])
        refused = [headers for status, headers, _ in answers if status != 200]
        assert refused and all(headers["Appleramp-Execution"] == "not_run" and float(headers["Retry-After"]) > 1 for headers in refused), refused[:3]
        for endpoint in (limited, other):
            recent = [at for at in endpoint.arrivals if at >= since]
            assert 0 < most_in_window(recent) <= ALLOWED, (endpoint.name, most_in_window(recent))
        served = len(answers) - len(refused)

        limited.limit = other.limit = None
        wait_until("the end of the limit", lambda: read(all_ports[0], 2)[0] == 200 and fleet.logged("entry-1", "endpoint_limit_over"))
        before = len(limited.arrivals)
        wait_until("the endpoint is used again", lambda: read(all_ports[0], 3)[0] in (200, 503) and len(limited.arrivals) > before + 40)
    print(f"{len(arrivals)} requests in {PLAY_SECONDS:.0f} s at a limit of {LIMIT} a second; {served} served, {len(refused)} refused with all limited")


if __name__ == "__main__":
    main()

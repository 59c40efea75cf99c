"""Real entry at the end of its grace period, with requests that can't be finished in time. Guards against an entry that ends with their
connections: a caller whose request never ran isn't told so, and one whose request may have run gets no answer at all."""
import functools
import pathlib
import sys
import time

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parents[2] / "scripts"))
sys.path.insert(0, str(pathlib.Path(__file__).resolve().parent))

from direct_answers import OddEndpoint, chunk, event  # noqa: E402
from direct_entries import Entries, configuration  # noqa: E402
from direct_stop_late import connect, outcomes_of, read_all, send  # noqa: E402
from fleet import call, wait_until  # noqa: E402

GRACE_MS = 4000
EXIT_SECONDS = 30
# No answer is finished before the process must end.
ENDLESS_SECONDS = 10
EVENT_SECONDS = 0.2


class EndlessEndpoint(OddEndpoint):
    """Answers nothing in time."""

    def __init__(self, name):
        self.ran = set()
        super().__init__(name)

    def answer(self, connection, path, name):
        common = f"X-Attempt-Id: {name}\r\nX-Response-Stamp: {self.name}\r\n"
        self.ran.add(name)
        if path.startswith("/stream/"):
            connection.sendall(f"HTTP/1.1 200 OK\r\n{common}Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n".encode())
            for number in range(1, int(ENDLESS_SECONDS / EVENT_SECONDS)):
                connection.sendall(chunk(event(number)))
                time.sleep(EVENT_SECONDS)
        time.sleep(ENDLESS_SECONDS)
        return False


def rules():
    configured = configuration(1, ["k1"])
    post = dict(configured["routes"][0], name="post", prefix="/post/", kind="unsafe", max_attempts=1)
    configured["routes"].append(post)
    for route in configured["routes"]:
        # The grace period ends before the time of any request.
        route.update(timeout_ms=20000, target_latency_ms=20000)
    return configured


def send_and_read(connection, method, path, name):
    send(connection, method, path, name)
    return read_all(connection)


def status_of(received):
    return received.split(b" ", 2)[1].decode() if received.startswith(b"HTTP/1.1 ") else "no answer"


def main():
    requests = {"post": ("POST", "/post/x"), "read": ("GET", "/read/x"), "stream": ("POST", "/stream/x")}
    with Entries(bounds={"grace_ms": GRACE_MS}) as fleet:
        endpoint = EndlessEndpoint("e1")
        fleet.store.put("op", "config", rules())
        fleet.register(endpoint)
        ports = fleet.start("entry-1")
        wait_until("ready", lambda: call(ports["readiness"], "GET", "/v1/ready")[0] == 200)
        connections = {name: connect(ports["callers"]) for name in requests}
        tasks = {name: functools.partial(send_and_read, connections[name], *request, name) for name, request in requests.items()}
        fleet.processes["entry-1"].terminate()
        begun = time.monotonic()
        answers = outcomes_of(tasks)
        assert fleet.processes["entry-1"].wait(timeout=EXIT_SECONDS) == 0
        took = time.monotonic() - begun
        assert took < GRACE_MS / 1000, took
        assert endpoint.ran == set(requests), endpoint.ran
        cut = {line["request"]: line["stage"] for line in fleet.logged("entry-1", "cut_at_stop")}
        for name in ("post", "read"):
            # It may have run, and that is what the caller is told.
            assert status_of(answers[name]) in ("502", "504") and b'"execution":"unknown"' in answers[name], (name, answers[name], cut)
        assert status_of(answers["stream"]) == "200" and not answers["stream"].endswith(b"0\r\n\r\n"), answers["stream"]
        assert cut == {"post": "sent", "read": "sent", "stream": "begun"}, cut
    print(f"at the end of the grace period two callers were told that the outcome is unknown, a stream broke off, after {took:.2f} s")


if __name__ == "__main__":
    main()

"""Real entry: an endpoint that announces that it leaves, and one that asks for a pause, get no more requests."""
import pathlib
import sys
import time

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parents[2] / "scripts"))
sys.path.insert(0, str(pathlib.Path(__file__).resolve().parent))

from direct_entries import Entries, configuration  # noqa: E402
from fleet import call, wait_until  # noqa: E402
from platform_stand_in import Endpoint  # noqa: E402

REQUESTS = 40
PAUSE_SECONDS = 3
# The rule counts from half a second after the answer that asked for the pause.
SETTLE_SECONDS = 0.5


def read(ports, number):
    headers = {"Host": "a.example", "Authorization": "Token k1", "X-Attempt-Id": f"id-{number}", "X-Time-Budget-Ms": "3000"}
    return call(ports["callers"], "GET", f"/read/{number}", None, headers)


def main():
    with Entries() as fleet:
        leaving, staying = Endpoint("e1"), Endpoint("e2")
        fleet.store.put("op", "config", configuration(1, ["k1"]))
        fleet.register(leaving)
        fleet.register(staying)
        ports = fleet.start("entry-1")
        wait_until("ready", lambda: call(ports["readiness"], "GET", "/v1/ready")[0] == 200)

        leaving.leaving = True
        wait_until("an answer that announces the leaving", lambda: read(ports, 0)[2] == "e1")
        known = len(leaving.arrivals)
        answers = [read(ports, number) for number in range(1, REQUESTS)]
        assert all(status == 200 and text == "e2" for status, _, text in answers), answers[-1]
        assert len(leaving.arrivals) == known, "requests reached an endpoint that leaves"
        assert fleet.logged("entry-1", "endpoint_leaving") or wait_until(
            "log line", lambda: fleet.logged("entry-1", "endpoint_leaving"))

        staying.pause_seconds = PAUSE_SECONDS
        status, headers, _ = read(ports, REQUESTS)
        asked = time.monotonic()
        assert status == 503 and float(headers["Retry-After"]) >= PAUSE_SECONDS, (status, headers)
        paused = len(staying.arrivals)
        # Every caller is refused at once, with the time that is left.
        for number in range(REQUESTS):
            status, headers, _ = read(ports, 100 + number)
            assert status == 503 and headers["Appleramp-Execution"] == "not_run", (status, headers)
            left = PAUSE_SECONDS - (time.monotonic() - asked)
            assert float(headers["Retry-After"]) >= left - SETTLE_SECONDS, (headers, left)
        assert len(staying.arrivals) == paused, "requests reached an endpoint that asked for a pause"
        staying.pause_seconds = None
        wait_until("service after the pause", lambda: read(ports, 200)[0] == 200)
        early = [at for at in staying.arrivals[paused:] if at < asked + PAUSE_SECONDS]
        assert not early, early
    print(f"{REQUESTS - 1} requests avoided an endpoint that leaves, {REQUESTS} one that paused")


if __name__ == "__main__":
    main()

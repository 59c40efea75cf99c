"""Real entry: an endpoint sends a long answer piece by piece. Guards against an entry that takes such an answer for silence: it breaks the
answer off while its pieces come, and has the request run once more elsewhere."""
import pathlib
import sys
import time

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parents[2] / "scripts"))
sys.path.insert(0, str(pathlib.Path(__file__).resolve().parent))

from direct_answers import OddEndpoint  # noqa: E402
from direct_entries import Entries, configuration  # noqa: E402
from fleet import call, wait_until  # noqa: E402

MANY_RETRIES = {"repeat_ratio": 1, "repeat_constant": 1000}
PIECES = 20
PIECE = b"x" * 100
# The whole takes longer than the time after which another endpoint is tried (0.2 s), the next piece never does.
PAUSE_SECONDS = 0.1


class PiecewiseEndpoint(OddEndpoint):
    def __init__(self, name):
        self.runs = 0
        super().__init__(name)

    def answer(self, connection, path, name):
        self.runs += 1
        common = f"X-Attempt-Id: {name}\r\nX-Response-Stamp: {self.name}\r\n"
        connection.sendall(f"HTTP/1.1 200 OK\r\n{common}Content-Length: {PIECES * len(PIECE)}\r\n\r\n".encode())
        for _ in range(PIECES):
            time.sleep(PAUSE_SECONDS)
            connection.sendall(PIECE)
        return True


def main():
    endpoints = [PiecewiseEndpoint("e1"), PiecewiseEndpoint("e2")]
    with Entries(bounds=MANY_RETRIES) as fleet:
        fleet.store.put("op", "config", configuration(1, ["k1"]))
        for endpoint in endpoints:
            fleet.register(endpoint)
        ports = fleet.start("entry-1")
        wait_until("ready", lambda: call(ports["readiness"], "GET", "/v1/ready")[0] == 200)
        headers = {"Host": "a.example", "Authorization": "Token k1", "X-Attempt-Id": "long", "X-Time-Budget-Ms": "6000"}
        begun = time.monotonic()
        status, _, text = call(ports["callers"], "GET", "/read/long", None, headers)
        assert (status, len(text)) == (200, PIECES * len(PIECE)), (status, text, time.monotonic() - begun, [(line["after_ms"], line["ending"], line.get("retry")) for line in fleet.logged("entry-1", "attempt_ended")])
        runs = [endpoint.runs for endpoint in endpoints]
        assert sum(runs) == 1, (runs, fleet.logged("entry-1", "attempt_ended"))
    print("an answer that came in pieces was whole, and its request ran once")


if __name__ == "__main__":
    main()

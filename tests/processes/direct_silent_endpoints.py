"""Real entry: an endpoint is silent for a while in a sound answer, and no other one can replace it. Guards against an entry that gives such
an answer up first and finds out then that it has no endpoint, or no retry left, for another attempt: the caller's stream was broken off."""
import pathlib
import sys
import time
from concurrent.futures import ThreadPoolExecutor

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parents[2] / "scripts"))
sys.path.insert(0, str(pathlib.Path(__file__).resolve().parent))

from direct_answers import OddEndpoint, chunk, event, stream  # noqa: E402
from direct_entries import Entries, configuration  # noqa: E402
from fleet import call, wait_until  # noqa: E402

EXIT_SECONDS = 30
STEADY_EVENTS = 30
STEADY_PAUSE_SECONDS = 0.1
PAUSED_EVENTS = 4
# Between the time after which another endpoint is tried (1.2 s) and the patience of callers (2 s).
LONG_PAUSE_SECONDS = 1.6
SLOW_ANSWER_SECONDS = 0.8
NO_RETRIES = {"repeat_ratio": 0, "repeat_constant": 0}


class PausingEndpoint(OddEndpoint):
    """Answers whole; some streams have one long pause, some answers come late."""

    def __init__(self, name):
        self.begun = set()
        super().__init__(name)

    def answer(self, connection, path, name):
        self.begun.add(path)
        common = f"X-Attempt-Id: {name}\r\nX-Response-Stamp: {self.name}\r\n"
        if path.startswith("/read/"):
            time.sleep(SLOW_ANSWER_SECONDS)
            connection.sendall(f"HTTP/1.1 200 OK\r\n{common}Content-Length: {len(name)}\r\n\r\n{name}".encode())
            return True
        connection.sendall(f"HTTP/1.1 200 OK\r\n{common}Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n".encode())
        is_steady = path.startswith("/stream/steady")
        for number in range(1, (STEADY_EVENTS if is_steady else PAUSED_EVENTS) + 1):
            connection.sendall(chunk(event(number)))
            time.sleep(LONG_PAUSE_SECONDS if number == 2 and not is_steady else STEADY_PAUSE_SECONDS)
        connection.sendall(b"0\r\n\r\n")
        return True


def whole(events):
    return b"".join(event(number) for number in range(1, events + 1))


def play(endpoints, bounds, is_stopped):
    with Entries(bounds=bounds) as fleet:
        fleet.store.put("op", "config", configuration(1, ["k1"]))
        for endpoint in endpoints:
            fleet.register(endpoint)
        ports = fleet.start("entry-1")
        wait_until("ready", lambda: call(ports["readiness"], "GET", "/v1/ready")[0] == 200)
        headers = {"Host": "a.example", "Authorization": "Token k1", "X-Attempt-Id": "late", "X-Time-Budget-Ms": "3000"}
        with ThreadPoolExecutor(2 * len(endpoints) + 2) as threads:
            # The service as a whole goes on, so that the pauses are those of single answers.
            steady = [threads.submit(stream, ports, f"/stream/steady-{number}") for number in range(2 * len(endpoints))]
            wait_until("the steady streams", lambda: sum(len(endpoint.begun) for endpoint in endpoints) >= len(steady))
            paused = threads.submit(stream, ports, "/stream/paused")
            late = threads.submit(call, ports["callers"], "GET", "/read/late", None, headers)
            wait_until("both at an endpoint", lambda: {"/stream/paused", "/read/late"} <= set().union(*(endpoint.begun for endpoint in endpoints)))
            if is_stopped:
                fleet.processes["entry-1"].terminate()
            text, is_whole, _ = paused.result()
            assert is_whole and text == whole(PAUSED_EVENTS), (is_whole, text, fleet.logged("entry-1", "attempt_ended"))
            status, _, text = late.result()
            assert (status, text) == (200, "late"), (status, text)
            for answer in steady:
                text, is_whole, _ = answer.result()
                assert is_whole and text == whole(STEADY_EVENTS), (is_whole, text)
        if is_stopped:
            assert fleet.processes["entry-1"].wait(timeout=EXIT_SECONDS) == 0


def main():
    play([PausingEndpoint("e1")], {}, is_stopped=False)
    play([PausingEndpoint("e1")], {}, is_stopped=True)
    play([PausingEndpoint("e1"), PausingEndpoint("e2")], NO_RETRIES, is_stopped=False)
    print("streams with a pause and late answers were whole: at the only endpoint, in a stop, and without retries left")


if __name__ == "__main__":
    main()

"""Real entry: a stream breaks off after it has begun, and the next endpoint answers with something else than the rest of it. Callers get
the events so far and a broken stream: no byte of the other answer, and no end that looks complete."""
import pathlib
import sys
import threading

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parents[2] / "scripts"))
sys.path.insert(0, str(pathlib.Path(__file__).resolve().parent))

from direct_answers import OddEndpoint, chunk, event, stream  # noqa: E402
from direct_entries import Entries, configuration  # noqa: E402
from fleet import call, wait_until  # noqa: E402

BEFORE_BREAK = 2
ROUNDS = 3
# An entry that has just started sends nothing again otherwise.
BOUNDS = {"repeat_constant": 100_000}
ERROR_TEXT = b"id: 3\ndata: the engine failed\n\n"
EVENT_STREAM = "Content-Type: text/event-stream\r\n"


def answer_with(status, headers, body):
    return lambda common: f"HTTP/1.1 {status} X\r\n{common}{headers}Content-Length: {len(body)}\r\n\r\n".encode() + body


def answer_in_chunks(status, headers, body):
    return lambda common: (f"HTTP/1.1 {status} X\r\n{common}{headers}Transfer-Encoding: chunked\r\n\r\n".encode()
                           + (chunk(body) if body else b"") + b"0\r\n\r\n")


# What the second endpoint answers, by path.
SECOND_ANSWERS = {
    "500": answer_with(500, "Content-Type: text/plain\r\n", ERROR_TEXT),
    "500-in-chunks": answer_in_chunks(500, "Content-Type: text/plain\r\n", ERROR_TEXT),
    "500-as-stream": answer_in_chunks(500, EVENT_STREAM, ERROR_TEXT),
    "500-without-end": lambda common: f"HTTP/1.1 500 X\r\n{common}\r\n".encode() + ERROR_TEXT,
    "502": answer_with(502, "", b""),
    "503-not-run": answer_with(503, "X-Not-Executed: 1\r\n", ERROR_TEXT),
    "503": answer_with(503, "Retry-After: 1\r\n", ERROR_TEXT),
    "429-not-run": answer_with(429, "X-Not-Executed: 1\r\n", ERROR_TEXT),
    "421": answer_with(421, "X-Not-Executed: 1\r\n", ERROR_TEXT),
    "404": answer_with(404, "", ERROR_TEXT),
    "302": answer_with(302, "Location: /elsewhere\r\n", ERROR_TEXT),
    "204": lambda common: f"HTTP/1.1 204 X\r\n{common}\r\n".encode(),
    "200-text": answer_in_chunks(200, "Content-Type: text/plain\r\n", ERROR_TEXT),
    "200-json": answer_with(200, "Content-Type: application/json\r\n", b'{"error":"failed"}\n\n'),
    "200-untyped": answer_with(200, "", ERROR_TEXT),
    "200-empty": answer_in_chunks(200, EVENT_STREAM, b""),
    "200-empty-with-length": answer_with(200, EVENT_STREAM, b""),
    "200-broken-off": lambda common: f"HTTP/1.1 200 X\r\n{common}{EVENT_STREAM}Transfer-Encoding: chunked\r\n\r\n".encode(),
    "head-broken-off": lambda common: f"HTTP/1.1 200 X\r\n{common}Content-Ty".encode(),
    "no-http": lambda common: b"the engine failed\r\n\r\n" + ERROR_TEXT,
    "closed": lambda common: b"",
}


class BreakingEndpoint(OddEndpoint):
    """Breaks off each stream at its first attempt, wherever that arrives; answers the second one as its path says."""

    begun = set()
    second = set()
    begun_lock = threading.Lock()

    def answer(self, connection, path, name):
        common = f"X-Attempt-Id: {name}\r\nX-Response-Stamp: {self.name}\r\n"
        with self.begun_lock:
            is_first = name not in self.begun
            (self.begun if is_first else self.second).add(name)
        if not is_first:
            connection.sendall(SECOND_ANSWERS[path.split("/")[2]](common))
            return False
        connection.sendall(f"HTTP/1.1 200 OK\r\n{common}{EVENT_STREAM}Transfer-Encoding: chunked\r\n\r\n".encode())
        for number in range(1, BEFORE_BREAK + 1):
            connection.sendall(chunk(event(number)))
        return False


def main():
    so_far = b"".join(event(number) for number in range(1, BEFORE_BREAK + 1))
    with Entries(bounds=BOUNDS) as fleet:
        fleet.store.put("op", "config", configuration(1, ["k1"]))
        for name in ("e1", "e2", "e3", "e4"):
            fleet.register(BreakingEndpoint(name))
        failures = []
        for kind in SECOND_ANSWERS:
            # An entry that has seen no endpoint fail yet.
            ports = fleet.start(f"entry-{kind}")
            wait_until("ready", lambda ports=ports: call(ports["readiness"], "GET", "/v1/ready")[0] == 200)
            paths = [f"/stream/{kind}/{number}" for number in range(ROUNDS)]
            answers = [stream(ports, path) for path in paths]
            failures += [(path, text, is_whole) for path, (text, is_whole, _) in zip(paths, answers) if is_whole or text not in (so_far, b"")]
            assert any(path in BreakingEndpoint.second for path in paths), (kind, "no stream was resumed")
            fleet.stop(f"entry-{kind}")
        assert not failures, failures
    print(f"{len(SECOND_ANSWERS)} kinds of other answers behind a stream that broke off")


if __name__ == "__main__":
    main()

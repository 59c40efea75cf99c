"""Real entry before an endpoint that answers oddly: a second copy of an answer late on a kept connection, streams that are slow but
sound, that stall with a byte now and then, and that break off."""
import http.client
import pathlib
import sys
import threading
import time

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parents[2] / "scripts"))
sys.path.insert(0, str(pathlib.Path(__file__).resolve().parent))

from direct_entries import STREAM_TIMEOUT_MS, Entries, configuration  # noqa: E402
from fleet import call, wait_until  # noqa: E402
from raw_endpoint import RawEndpoint  # noqa: E402

REQUESTS = 30
EVENTS = 5
SLOW_PAUSE_SECONDS = 0.5
BYTE_PAUSE_SECONDS = 0.1
# A caller may wait this long beyond the timeout of its route.
SLACK_SECONDS = 1.0


def event(number):
    return f"id: {number}\ndata: piece-{number}\n\n".encode()


def chunk(data):
    return f"{len(data):x}\r\n".encode() + data + b"\r\n"


class OddEndpoint(RawEndpoint):
    """Answers by path, and counts its open connections."""

    READS_BODIES = False

    def __init__(self, name):
        self.open = 0
        self.lock = threading.Lock()
        super().__init__(name)

    def serve(self, connection):
        with self.lock:
            self.open += 1
        try:
            super().serve(connection)
        finally:
            with self.lock:
                self.open -= 1

    def respond(self, connection, request):
        return self.answer(connection, request.target, request.name)

    def answer(self, connection, path, name):
        common = f"X-Attempt-Id: {name}\r\nX-Response-Stamp: {self.name}\r\n"
        if path.startswith("/read/"):
            whole = f"HTTP/1.1 200 OK\r\n{common}Content-Length: {len(name)}\r\n\r\n{name}".encode()
            connection.sendall(whole)
            time.sleep(0.005)
            connection.sendall(whole)
            return True
        connection.sendall(f"HTTP/1.1 200 OK\r\n{common}Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n".encode())
        for number in range(1, EVENTS + 1):
            if path == "/stream/broken" and number == 3:
                return False
            if path == "/stream/stalled" and number == 3:
                connection.sendall(chunk(b"id: 3\ndata: "))
                while True:
                    time.sleep(BYTE_PAUSE_SECONDS)
                    connection.sendall(chunk(b"x"))
            connection.sendall(chunk(event(number)))
            time.sleep(SLOW_PAUSE_SECONDS if path == "/stream/slow" else 0)
        connection.sendall(b"0\r\n\r\n")
        return True


def stream(ports, path):
    """Returns the events, whether the answer looks whole, and the time that it took."""
    connection = http.client.HTTPConnection("127.0.0.1", ports["callers"], timeout=30)
    headers = {"Host": "a.example", "Authorization": "Token k1", "X-Attempt-Id": path, "X-Time-Budget-Ms": str(STREAM_TIMEOUT_MS)}
    begun = time.monotonic()
    connection.request("POST", path, b"{}", headers)
    try:
        response = connection.getresponse()
        text = response.read()
        is_whole = response.status == 200
    except http.client.IncompleteRead as broken:
        text, is_whole = broken.partial, False
    except (OSError, http.client.HTTPException):
        text, is_whole = b"", False
    return text, is_whole, time.monotonic() - begun


def main():
    with Entries() as fleet:
        endpoint = OddEndpoint("e1")
        fleet.store.put("op", "config", configuration(1, ["k1"]))
        fleet.register(endpoint)
        ports = fleet.start("entry-1")
        wait_until("ready", lambda: call(ports["readiness"], "GET", "/v1/ready")[0] == 200)

        served = 0
        for number in range(REQUESTS):
            headers = {"Host": "a.example", "Authorization": "Token k1", "X-Attempt-Id": f"own-{number}", "X-Time-Budget-Ms": "3000"}
            status, _, text = call(ports["callers"], "GET", "/read/x", None, headers)
            # Its own answer, or an honest failure: the only endpoint that could be asked again sends more copies.
            assert (status, text) == (200, f"own-{number}") or status == 502, (number, status, text)
            served += status == 200
        assert served >= REQUESTS // 3, served
        # The second copy of the last answer makes the entry close its connection; a stream sent before would meet that copy.
        wait_until("second copies read", lambda: endpoint.open == 0)

        whole = b"".join(event(number) for number in range(1, EVENTS + 1))
        text, is_whole, _ = stream(ports, "/stream/slow")
        assert is_whole and text == whole, (is_whole, text)

        text, is_whole, _ = stream(ports, "/stream/broken")
        assert not is_whole or text == whole, text

        text, is_whole, took = stream(ports, "/stream/stalled")
        assert not is_whole, text
        assert took <= STREAM_TIMEOUT_MS / 1000 + SLACK_SECONDS, took
        assert text in (whole[:len(text)], b"") and text.endswith((b"\n\n", b"")), text
    print(f"{served} of {REQUESTS} answered, each with its own answer; a slow stream was whole, broken and stalled ones ended and did not look whole")


if __name__ == "__main__":
    main()

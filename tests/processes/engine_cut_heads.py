"""Real entry and agent: an engine stops in the middle of its answer, in the head or in the framing of the body, and closes the
connection. The caller gets an explicit failure: no 2xx that ends as a whole answer does."""
import http.client
import json
import pathlib
import socket
import sys
import threading

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parents[2] / "scripts"))

from fleet import Fleet, get_json, wait_until  # noqa: E402

HEAD = b"HTTP/1.1 200 OK\r\nConnection: close\r\n"
WITH_LENGTH = HEAD + b"Content-Length: 05\r\n\r\nwhole"
IN_CHUNKS = HEAD + b"Transfer-Encoding: chunked\r\n\r\n5\r\nwhole\r\n0\r\n\r\n"
CUTS = [(WITH_LENGTH, place) for place in (b"200", b"OK\r\n", b"Connection: close\r\n", b"Content-Le", b"Content-Length: 0", b"\r\n\r\n", b"who")]
CUTS += [(IN_CHUNKS, place) for place in (b"Transfer-Enc", b"chunk", b"\r\n\r\n", b"who", b"whole\r\n", b"whole\r\n0", b"whole\r\n0\r\n")]


class CutEngine:
    """Answers health reports, and each other request with the bytes of `answer`; then it has restarted."""

    def __init__(self):
        self.answer = b""
        self.answered = 0
        self.starts = 1
        self.listener = socket.create_server(("127.0.0.1", 0))
        self.port = self.listener.getsockname()[1]
        threading.Thread(target=self.accept, daemon=True).start()

    def accept(self):
        while True:
            connection, _ = self.listener.accept()
            threading.Thread(target=self.serve, args=(connection,), daemon=True).start()

    def serve(self, connection):
        with connection, connection.makefile("rb") as received:
            line = received.readline()
            headers = http.client.parse_headers(received)
            received.read(int(headers.get("Content-Length", 0)))
            if line.startswith(b"GET /health "):
                report = json.dumps({"healthy": True, "boot_id": f"start-{self.starts}", "running": 0, "capacity": 4}).encode()
                connection.sendall(b"HTTP/1.1 200 OK\r\nConnection: close\r\nContent-Length: %d\r\n\r\n" % len(report) + report)
            elif line:
                self.answered += 1
                self.starts += 1
                connection.sendall(self.answer)


def ask(entry, number):
    """Returns the status, the body, and whether the answer ended as a whole one does."""
    connection = http.client.HTTPConnection("127.0.0.1", entry["callers"], timeout=20)
    try:
        connection.request("POST", "/v1/services/orders/orders", json.dumps({"order": number}),
                           {"Appleramp-Team": "kitchen", "Idempotency-Key": f"cut-{number}"})
        response = connection.getresponse()
        try:
            return response.status, response.read(), True
        except http.client.IncompleteRead as cut:
            return response.status, cut.partial, False
    finally:
        connection.close()


def main():
    with Fleet() as fleet:
        engine = CutEngine()
        fleet.agent("agent", "zone-a", "service", "orders", engine.port)
        entry = fleet.entry("entry", "zone-a")
        findings = []
        for number, (answer, place) in enumerate([*CUTS, (WITH_LENGTH, b"whole"), (IN_CHUNKS, b"\r\n0\r\n\r\n")]):
            wait_until("slots", lambda: any(endpoint["slots"] for endpoint in get_json(entry["operations"], "/v1/status")["endpoints"]))
            engine.answer = answer[:answer.index(place) + len(place)]
            before = engine.answered
            status, body, is_whole = ask(entry, number)
            assert engine.answered > before, (number, status, body)
            if engine.answer == answer:
                assert (status, body, is_whole) == (200, b"whole", True), (engine.answer, status, body, is_whole)
            elif status < 300 and is_whole:
                findings.append((engine.answer, status, body))
        assert not findings, f"{len(findings)} of {len(CUTS)} cut answers looked whole: {findings}"
    print(f"{len(CUTS)} cut answers, none of which looked whole; whole ones were passed on")


if __name__ == "__main__":
    main()

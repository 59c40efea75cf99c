"""Real processes of both fleets before engines that send without end: in trailers, in a chunk extension, in interim heads, in a body, in
the answers to health checks and reports. Guards against a process that keeps all of it until its memory is gone, and with it the requests
of others."""
import http.client
import json
import pathlib
import sys

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parents[2] / "scripts"))
sys.path.insert(0, str(pathlib.Path(__file__).resolve().parent))

from direct_answers import OddEndpoint  # noqa: E402
from direct_entries import Entries  # noqa: E402
from direct_hangup import start_agent  # noqa: E402
from fleet import Fleet, call, get_json, wait_until  # noqa: E402
from hostile_callers import MACHINE_MEMORY_BYTES, MEBIBYTE, PIECE, HostileCallers, head, open_descriptors, peak_memory  # noqa: E402

# Requests that are at the faulty endpoint at a time, and the bytes after which it gives up.
REQUESTS = 24
BYTES = 160 * MEBIBYTE
# An event that stays below the largest one.
EVENT_BYTES = 960 * 1024
CHUNKED = b"Transfer-Encoding: chunked\r\n\r\n2\r\n{}\r\n"
FIELD = b"X-Trailer: " + b"t" * 500 + b"\r\n"
INTERIM = b"HTTP/1.1 100 Continue\r\n\r\n"
# What follows the head of an answer, and the piece that is sent again and again behind it.
ENDLESS = {
    "trailers": (CHUNKED + b"0\r\n", FIELD * (PIECE // len(FIELD))),
    "extension": (CHUNKED + b"2;x=", b"e" * PIECE),
    "body": (b"\r\n", b"b" * PIECE),
    "chunks": (CHUNKED, b"%x\r\n" % PIECE + b"b" * PIECE + b"\r\n"),
    "field": (b"X: ", b"h" * PIECE),
    "fields": (b"", b"X-Field: aaaaaaaaaaaaaaaaaaaa\r\n" * 2048),
}


class EndlessEngine(OddEndpoint):
    """Answers in the way of `kind`: as a sound engine while it is empty. It speaks what both fleets ask."""

    def __init__(self):
        self.kind = ""
        self.endless = 0
        self.ids = set()
        self.work_seconds = 0.0
        super().__init__("e1")
        self.port = int(self.address.split(":")[1])

    def answer(self, connection, path, request):
        begin = f"HTTP/1.1 200 OK\r\nConnection: close\r\nX-Attempt-Id: {request}\r\nX-Response-Stamp: {self.name}\r\n".encode()
        if not self.kind:
            text = self.name.encode()
            if path.startswith("/health"):
                text = json.dumps({"healthy": True, "boot_id": "start-1", "running": 0, "capacity": 4}).encode()
            connection.sendall(begin + b"Content-Length: %d\r\n\r\n" % len(text) + text)
            return False
        self.endless += 1
        if self.kind == "interim":
            self.send_endlessly(connection, b"", INTERIM * (PIECE // len(INTERIM)))
        elif self.kind == "event":
            connection.sendall(begin + b"\r\nid: 1\ndata: " + b"v" * EVENT_BYTES)
            connection.recv(1)
        else:
            after, piece = ENDLESS[self.kind]
            self.send_endlessly(connection, begin + after, piece)
        return False

    def send_endlessly(self, connection, begin, piece):
        connection.sendall(begin)
        sent = 0
        while sent < BYTES:
            connection.sendall(piece)
            sent += len(piece)

    def close(self):
        self.listener.close()


def check(process, what):
    assert process.poll() is None, f"{what}: the process ended with {process.returncode}"
    peak = peak_memory(process)
    assert peak <= MACHINE_MEMORY_BYTES, f"{what}: {peak // MEBIBYTE} MB, of {MACHINE_MEMORY_BYTES // MEBIBYTE} MB"
    print(f"{what}: at most {peak // MEBIBYTE} MB, {open_descriptors(process)} descriptors")


def play_entry():
    """The requests of one crowd are over before the engine is sound again; their outcome is left open."""
    for kind in (*ENDLESS, "interim", "event"):
        engine = EndlessEngine()
        with HostileCallers(engine) as crowd:
            engine.kind = kind
            path = "/stream/" if kind == "event" else "/read/"
            for number in range(REQUESTS):
                crowd.connect().send(head(f"{kind}-{number}", "Content-Length: 2").replace(b"/read/", path.encode()) + b"{}")
            for caller in crowd.callers:
                caller.answer()
            assert engine.endless, kind
            engine.kind = ""
            wait_until("the requests are over", lambda: crowd.gauge("appleramp_requests_in_flight") == 0)
            check(crowd.process, f"entry, {kind}")
            # An endpoint that failed so often may be left out for a while.
            wait_until("an ordinary request is answered", lambda: ask(crowd.ports["callers"]), 60)


def ask(port):
    headers = {"Host": "a.example", "Authorization": "Token k1", "X-Attempt-Id": "ordinary", "X-Time-Budget-Ms": "3000"}
    return call(port, "POST", "/read/ordinary", b"{}", headers)[0] == 200


def play_direct_agent():
    """The agent reads its engine's reports again and again."""
    for kind in (*ENDLESS, "interim"):
        engine = EndlessEngine()
        engine.kind = kind
        with Entries() as fleet:
            process = start_agent(fleet, engine)
            wait_until(f"reports, {kind}", lambda: engine.endless >= 4, 60)
            check(process, f"agent, {kind}")
        engine.close()


def play_gated_fleet():
    """The agent probes its engine and carries its answers; the entry gets them from the agent."""
    for kind in (*ENDLESS, "interim"):
        engine = EndlessEngine()
        with Fleet() as fleet:
            fleet.agent("agent", "zone-a", "service", "orders", engine.port)
            entry = fleet.entry("entry", "zone-a")
            has_slots = lambda: any(endpoint["slots"] for endpoint in get_json(entry["operations"], "/v1/status")["endpoints"])  # noqa: E731
            wait_until("slots", has_slots)
            engine.kind = kind
            try:
                call(entry["callers"], "POST", "/v1/services/orders/orders", json.dumps({"order": 1}),
                     {"Appleramp-Team": "kitchen", "Idempotency-Key": f"endless-{kind}", "Appleramp-Timeout-Ms": "3000"})
            except http.client.HTTPException:
                pass  # Begun, and broken off.
            wait_until(f"answers and probes, {kind}", lambda: engine.endless >= 4, 60)
            engine.kind = ""
            for name in ("agent", "entry"):
                check(fleet.processes[name], f"gated {name}, {kind}")
            wait_until("slots", has_slots, 60)
            status, _, text = call(entry["callers"], "POST", "/v1/services/orders/orders", json.dumps({"order": 2}),
                                   {"Appleramp-Team": "kitchen", "Idempotency-Key": f"ordinary-{kind}"})
            assert (status, text) == (200, engine.name), (kind, status, text)
        engine.close()


PARTS = {"entry": play_entry, "agent": play_direct_agent, "gated": play_gated_fleet}


def main():
    for part in sys.argv[1:] or PARTS:
        PARTS[part]()


if __name__ == "__main__":
    main()

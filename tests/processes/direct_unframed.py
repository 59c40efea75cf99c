"""Real entry before endpoints in trouble: answers without a length that end with their connection, whole or because the endpoint
ended, and bytes that come without end, in a head, in a body, behind a rejection and inside an event."""
import http.client
import pathlib
import socket
import sys
import threading
import time

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parents[2] / "scripts"))
sys.path.insert(0, str(pathlib.Path(__file__).resolve().parent))

from direct_answers import OddEndpoint  # noqa: E402
from direct_entries import STREAM_TIMEOUT_MS, Entries, configuration  # noqa: E402
from fleet import call, wait_until  # noqa: E402

EVENTS = 4
ENDLESS_PIECE = b"x" * 65536
# Endless bytes of this many requests at a time must not fill the entry's memory.
ENDLESS_REQUESTS = 6
MAX_MEMORY_KB = 160 * 1024
# A rejection is known by its head; a caller must not wait for the end of what follows it.
MAX_REJECTION_SECONDS = 1.0
DRIP_SECONDS = 0.02
# A caller may wait this long beyond the timeout of its route.
SLACK_SECONDS = 1.0


def event(number):
    return f"id: {number}\ndata: piece-{number}\n\n".encode()


WHOLE = b"".join(event(number) for number in range(1, EVENTS + 1))


class TroubledEndpoint(OddEndpoint):
    """Answers one request a connection, by path and without a length."""

    def answer(self, connection, path, name):
        common = f"X-Attempt-Id: {name}\r\nX-Response-Stamp: {self.name}\r\n".encode()
        whole_head = b"HTTP/1.1 200 OK\r\n" + common
        kind = path.split("/")[2]
        if kind == "whole":
            connection.sendall(whole_head + b"\r\n" + (WHOLE if path.startswith("/stream/") else name.encode()))
        elif kind == "ended":
            # The process ends: its listener is gone and its connection closed.
            connection.sendall(whole_head + b"\r\n" + (event(1) + event(2) if path.startswith("/stream/") else name.encode()[:1]))
            self.listener.shutdown(socket.SHUT_RDWR)
            self.listener.close()
        elif kind == "empty":
            connection.sendall(whole_head + b"\r\n")
        elif kind == "head":
            self.send_endlessly(connection, b"")
        elif kind == "body":
            self.send_endlessly(connection, whole_head + b"\r\n")
        elif kind == "rejected":
            self.send_endlessly(connection, b"HTTP/1.1 503 Unavailable\r\nX-Not-Executed: 1\r\n" + common + b"\r\n")
        elif kind == "dripping":
            connection.sendall(b"HTTP/1.1 503 Unavailable\r\nX-Not-Executed: 1\r\n" + common + b"\r\n")
            while True:
                connection.sendall(b"x")
                time.sleep(DRIP_SECONDS)
        elif kind == "event":
            self.send_endlessly(connection, whole_head + b"\r\n" + event(1) + b"id: 2\ndata: ")

    def send_endlessly(self, connection, first):
        connection.sendall(first)
        while True:
            connection.sendall(ENDLESS_PIECE)


def ask(ports, path):
    """Returns the status (None without a whole answer), what came of the body, and the time that it took."""
    connection = http.client.HTTPConnection("127.0.0.1", ports["callers"], timeout=30)
    headers = {"Host": "a.example", "Authorization": "Token k1", "X-Attempt-Id": path.replace("/", "-"),
               "X-Time-Budget-Ms": str(STREAM_TIMEOUT_MS)}
    begun = time.monotonic()
    status, text = None, b""
    try:
        connection.request("POST", path, b"{}", headers)
        response = connection.getresponse()
        text = response.read()
        status = response.status
    except http.client.IncompleteRead as broken:
        text = broken.partial
    except (OSError, http.client.HTTPException):
        pass
    finally:
        connection.close()
    return status, text, time.monotonic() - begun


def peak_memory_kb(process):
    for line in pathlib.Path(f"/proc/{process.pid}/status").read_text().splitlines():
        if line.startswith("VmHWM:"):
            return int(line.split()[1])
    raise RuntimeError("no peak memory")


class Case:
    """One endpoint at a time, so that no other one helps."""

    def __init__(self, fleet, ports):
        self.fleet = fleet
        self.ports = ports
        self.number = 0

    def ask(self, path, count=1):
        self.number += 1
        endpoint = TroubledEndpoint(f"e{self.number}")
        self.fleet.register(endpoint)
        listed = lambda: any(line.get("endpoint") == endpoint.name for line in self.fleet.logged("entry-1", "endpoint_listed"))  # noqa: E731
        wait_until("endpoint listed", listed)
        answers = [None] * count

        def one(index):
            answers[index] = ask(self.ports, f"{path}/{self.number}-{index}")

        threads = [threading.Thread(target=one, args=(index,)) for index in range(count)]
        for thread in threads:
            thread.start()
        for thread in threads:
            thread.join()
        self.fleet.store.remove("servers", endpoint.name)
        wait_until("endpoint unlisted", lambda: any(line.get("endpoint") == endpoint.name and line.get("kept_for_now") == "false"
                                                    for line in self.fleet.logged("entry-1", "endpoint_unlisted")))
        return answers


def main():
    with Entries() as fleet:
        fleet.store.put("op", "config", configuration(1, ["k1"]))
        keeper = TroubledEndpoint("e0")
        fleet.register(keeper)
        ports = fleet.start("entry-1")
        wait_until("ready", lambda: call(ports["readiness"], "GET", "/v1/ready")[0] == 200)
        fleet.store.remove("servers", "e0")
        wait_until("endpoint unlisted", lambda: fleet.logged("entry-1", "endpoint_unlisted"))
        case = Case(fleet, ports)

        status, text, _ = case.ask("/read/whole")[0]
        assert status == 200 and text.startswith(b"-read-whole-"), (status, text)
        status, text, _ = case.ask("/stream/whole")[0]
        assert status == 200 and text == WHOLE, (status, text)

        status, text, _ = case.ask("/read/ended")[0]
        assert status != 200, (status, text)
        status, text, _ = case.ask("/stream/ended")[0]
        assert status != 200, (status, text)
        status, text, _ = case.ask("/stream/empty")[0]
        assert status != 200, (status, text)

        for status, text, took in case.ask("/read/rejected", ENDLESS_REQUESTS) + case.ask("/stream/rejected", ENDLESS_REQUESTS):
            assert status == 503 and b"not_run" in text and took <= MAX_REJECTION_SECONDS, (status, text[:100], took)
        for status, text, took in case.ask("/read/dripping", ENDLESS_REQUESTS) + case.ask("/stream/dripping", ENDLESS_REQUESTS):
            assert status == 503 and b"not_run" in text and took <= MAX_REJECTION_SECONDS, (status, text[:100], took)
        for path in ("/read/head", "/read/body", "/stream/head", "/stream/event"):
            for status, text, took in case.ask(path, ENDLESS_REQUESTS):
                assert status != 200 and took <= STREAM_TIMEOUT_MS / 1000 + SLACK_SECONDS, (path, status, text[:100], took)
                assert text in (b"", event(1)) or b"execution" in text, (path, text[:100])
        peak = peak_memory_kb(fleet.processes["entry-1"])
        assert peak <= MAX_MEMORY_KB, f"{peak} kB"
    print(f"answers without a length were told from broken ones; endless bytes ended at once or in time, with {peak // 1024} MB at the most")


if __name__ == "__main__":
    main()

"""Real entry: SIGTERM while callers send long streams on open connections, and while others read their answers slowly. What the entry
passes on ends whole inside the grace period; the rest is refused as not run."""
import functools
import pathlib
import socket
import sys
import time
from concurrent.futures import ThreadPoolExecutor

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parents[2] / "scripts"))
sys.path.insert(0, str(pathlib.Path(__file__).resolve().parent))

from direct_answers import OddEndpoint, chunk, event  # noqa: E402
from direct_entries import Entries, configuration  # noqa: E402
from fleet import call, wait_until  # noqa: E402

GRACE_MS = 8000
EXIT_SECONDS = 30
STREAM_EVENTS = 43
EVENT_SECONDS = 0.1
# When streams are sent after the signal, on connections that were open before it.
STREAMS_AFTER = (0.0, 1.0, 2.0, 2.4, 2.8, 3.2, 3.3, 3.4, 3.5, 4.5)
LARGE_BYTES = 7 * 1000 * 1000
SLOW_READERS = 4
RECEIVE_BUFFER = 16 * 1024
# Slow readers read nothing until then, and all of it in the time after.
READ_AFTER_SECONDS = 4.5


class SteadyEndpoint(OddEndpoint):
    """Streams that last for seconds, and large answers."""

    def __init__(self, name):
        self.ran = set()
        super().__init__(name)

    def answer(self, connection, path, name):
        self.ran.add(name)
        common = f"X-Attempt-Id: {name}\r\nX-Response-Stamp: {self.name}\r\n"
        if path.startswith("/read/"):
            connection.sendall(f"HTTP/1.1 200 OK\r\n{common}Content-Length: {LARGE_BYTES}\r\n\r\n".encode() + b"x" * LARGE_BYTES)
            return True
        connection.sendall(f"HTTP/1.1 200 OK\r\n{common}Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n".encode())
        for number in range(1, STREAM_EVENTS + 1):
            time.sleep(EVENT_SECONDS)
            connection.sendall(chunk(event(number)))
        connection.sendall(b"0\r\n\r\n")
        return True


def connect(port, receive_buffer=None):
    connection = socket.socket()
    if receive_buffer:
        connection.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, receive_buffer)
    connection.settimeout(EXIT_SECONDS)
    connection.connect(("127.0.0.1", port))
    return connection


def send(connection, method, path, name):
    connection.sendall((f"{method} {path} HTTP/1.1\r\nHost: a.example\r\nAuthorization: Token k1\r\nX-Attempt-Id: {name}\r\n"
                        f"X-Time-Budget-Ms: {GRACE_MS}\r\nContent-Length: 0\r\n\r\n").encode())


def read_all(connection):
    received = b""
    try:
        while more := connection.recv(65536):
            received += more
    except OSError:
        pass  # What came until then is judged.
    return received


def outcome_of(received, is_whole):
    if received.startswith(b"HTTP/1.1 503 ") and b'"execution":"not_run"' in received:
        return "refused"
    return "whole" if received.startswith(b"HTTP/1.1 200 ") and is_whole(received) else f"cut after {len(received)} bytes"


def started_entry(fleet):
    """Returns the endpoint behind a new entry, and the entry's ports."""
    endpoint = SteadyEndpoint("e1")
    rules = configuration(1, ["k1"])
    for route in rules["routes"]:
        # Large answers take a while from the endpoint to the entry; they are not to be asked for again meanwhile.
        route.update(timeout_ms=GRACE_MS, target_latency_ms=GRACE_MS)
    fleet.store.put("op", "config", rules)
    fleet.register(endpoint)
    ports = fleet.start("entry-1")
    wait_until("ready", lambda: call(ports["readiness"], "GET", "/v1/ready")[0] == 200)
    return endpoint, ports


def stop(fleet):
    """Returns when the entry got SIGTERM."""
    fleet.processes["entry-1"].terminate()
    return time.monotonic()


def outcomes_of(tasks):
    """Runs the tasks, by name, beside each other."""
    with ThreadPoolExecutor(len(tasks)) as threads:
        running = {name: threads.submit(task) for name, task in tasks.items()}
        return {name: task.result() for name, task in running.items()}


def send_late(connection, start, name):
    time.sleep(max(0.0, start - time.monotonic()))
    try:
        send(connection, "POST", "/stream/x", name)
    except OSError:
        return "not taken"
    received = read_all(connection)
    return outcome_of(received, lambda text: text.endswith(b"0\r\n\r\n")) if received else "closed"


def read_late(connection, start):
    time.sleep(max(0.0, start - time.monotonic()))
    return outcome_of(read_all(connection), lambda text: len(text.split(b"\r\n\r\n", 1)[1]) == LARGE_BYTES)


def play_streams():
    with Entries(bounds={"grace_ms": GRACE_MS}) as fleet:
        endpoint, ports = started_entry(fleet)
        connections = {after: connect(ports["callers"]) for after in STREAMS_AFTER}
        stopped = stop(fleet)
        outcomes = outcomes_of({after: functools.partial(send_late, connection, stopped + after, str(after))
                                for after, connection in connections.items()})
        assert fleet.processes["entry-1"].wait(timeout=EXIT_SECONDS) == 0
        lost = {after: outcome for after, outcome in outcomes.items() if str(after) in endpoint.ran and outcome != "whole"}
        assert not lost, lost
        assert all(outcome in ("whole", "refused", "not taken") for outcome in outcomes.values()), outcomes
        # Callers that may not know yet that the entry leaves are served.
        assert all(outcomes[after] == "whole" for after in STREAMS_AFTER if after <= 2.0), outcomes
        assert outcomes[STREAMS_AFTER[-1]] != "whole", outcomes
        return outcomes


def play_slow_readers():
    with Entries(bounds={"grace_ms": GRACE_MS}) as fleet:
        endpoint, ports = started_entry(fleet)
        connections = [connect(ports["callers"], RECEIVE_BUFFER) for _ in range(SLOW_READERS)]
        for number, connection in enumerate(connections):
            send(connection, "GET", "/read/x", f"slow-{number}")
        wait_until("the large answers", lambda: len(endpoint.ran) == SLOW_READERS)
        # The first bytes of an answer show that the entry has the whole of it.
        for connection in connections:
            connection.recv(1, socket.MSG_PEEK)
        stopped = stop(fleet)
        outcomes = outcomes_of({number: functools.partial(read_late, connection, stopped + READ_AFTER_SECONDS)
                                for number, connection in enumerate(connections)})
        assert fleet.processes["entry-1"].wait(timeout=EXIT_SECONDS) == 0
        assert all(outcome == "whole" for outcome in outcomes.values()), outcomes
        return outcomes


def main():
    streams = list(play_streams().values())
    readers = play_slow_readers()
    print(f"{streams.count('whole')} of {len(streams)} streams whole, the others refused as not run; {len(readers)} slow readers got all")


if __name__ == "__main__":
    main()

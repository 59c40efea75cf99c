"""Callers of an entry that stops, on raw sockets, an endpoint that answers at the pace that a path names, and the rule by which their
requests are judged."""
import re
import socket
import time
from concurrent.futures import ThreadPoolExecutor

from direct_answers import OddEndpoint, chunk, event
from direct_entries import SERVICE, configuration
from fleet import call, wait_until

GRACE_MS = 8000
EXIT_SECONDS = 30
STREAM_EVENTS = 10
# A connection may end this soon after the last byte of a request: the process has hardly read it.
UNREAD_SECONDS = 0.2


class PacedEndpoint(OddEndpoint):
    """Answers /KIND/SECONDS/BYTES after the seconds with so many bytes, which begin with the name of the request."""

    def __init__(self, name):
        self.ran = set()
        super().__init__(name)

    def serve(self, connection):
        received = b""
        try:
            while True:
                while b"\r\n\r\n" not in received:
                    received += self.more(connection)
                head, received = received.split(b"\r\n\r\n", 1)
                lines = head.decode().split("\r\n")
                headers = {name.lower(): value for name, value in (line.split(": ", 1) for line in lines[1:])}
                length = int(headers.get("content-length", 0))
                while len(received) < length:
                    received += self.more(connection)
                received = received[length:]
                self.answer(connection, lines[0].split()[1], headers.get("x-attempt-id", ""))
        except OSError:
            pass  # The entry left; what callers saw is judged.
        finally:
            connection.close()

    @staticmethod
    def more(connection):
        if more := connection.recv(65536):
            return more
        raise ConnectionError

    def answer(self, connection, path, name):
        if path.count("/") != 3:
            # An agent asks for reports.
            return connection.sendall(b"HTTP/1.1 404 Not Found\r\nContent-Length: 0\r\n\r\n")
        self.ran.add(name)
        _, kind, seconds, size = path.split("/")
        common = f"HTTP/1.1 200 OK\r\nX-Attempt-Id: {name}\r\nX-Response-Stamp: {self.name}\r\n"
        if kind == "stream":
            connection.sendall((common + "Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n").encode())
            for number in range(1, STREAM_EVENTS + 1):
                time.sleep(float(seconds) / STREAM_EVENTS)
                connection.sendall(chunk(event(number)))
            return connection.sendall(b"0\r\n\r\n")
        time.sleep(float(seconds))
        body = name.encode().ljust(int(size), b"x")
        return connection.sendall(f"{common}Content-Length: {len(body)}\r\n\r\n".encode() + body)


def rules(max_body_bytes=65536):
    """Routes for safe and unsafe requests and streams, without a time limit that matters to a stop."""
    configured = configuration(1, ["k1"])
    configured["routes"].append(dict(configured["routes"][0], name="post", prefix="/post/", kind="unsafe", max_attempts=1))
    for route in configured["routes"]:
        route.update(timeout_ms=20000, target_latency_ms=20000)
    configured["limits"]["max_body_bytes"] = max_body_bytes
    return configured


def registered_endpoint(fleet, configured=None):
    endpoint = PacedEndpoint("e1")
    fleet.store.put("op", "config", configured or rules())
    fleet.store.put("servers", endpoint.name, {"service": SERVICE, "address": endpoint.address, "zone": "a", "slots": 200,
                                               "state": "ready", "seq_no": 1, "cold_left_ms": 0})
    return endpoint


def started_entry(fleet, configured=None):
    """Returns the endpoint behind a new entry, and the entry's ports."""
    endpoint = registered_endpoint(fleet, configured)
    ports = fleet.start("entry-1")
    wait_until("ready", lambda: call(ports["readiness"], "GET", "/v1/ready")[0] == 200)
    return endpoint, ports


def connect(port, receive_buffer=None):
    connection = socket.socket()
    if receive_buffer:
        connection.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, receive_buffer)
    connection.settimeout(EXIT_SECONDS)
    connection.connect(("127.0.0.1", port))
    return connection


def request(name, path, body=b"", padding=0, budget_ms=15000):
    method = "GET" if path.startswith("/read/") else "POST"
    return (f"{method} {path} HTTP/1.1\r\nHost: a.example\r\nAuthorization: Token k1\r\nX-Attempt-Id: {name}\r\nX-Time-Budget-Ms: {budget_ms}\r\n"
            f"X-Padding: {'p' * padding}\r\nContent-Length: {len(body)}\r\n\r\n").encode() + body


def read_to_end(connection):
    """Returns what came, and when the connection ended."""
    received = bytearray()
    try:
        while more := connection.recv(1 << 20):
            received += more
    except OSError:
        pass  # What came until then is judged.
    return bytes(received), time.monotonic()


class Answer:
    """One answer out of what a caller has read."""

    def __init__(self, received):
        head, _, rest = received.partition(b"\r\n\r\n")
        self.status = int(head.split(b" ", 2)[1])
        self.closes = re.search(rb"(?i)\r\nconnection: close", head) is not None
        length = re.search(rb"(?i)\r\ncontent-length: (\d+)", head)
        end = int(length[1]) if length else rest.find(b"0\r\n\r\n") + 5
        self.is_whole = len(rest) >= end if length else end > 4
        self.body = rest[:end]
        self.rest = rest[end:] if self.is_whole else b""

    @property
    def is_refusal(self):
        return self.status == 503 and b'"execution":"not_run"' in self.body


def answers_in(received):
    """The answers that a caller has, until the one that closes the connection, after which it looks at nothing."""
    found = []
    while received.startswith(b"HTTP/1.1 ") and b"\r\n\r\n" in received:
        found.append(Answer(received))
        received = b"" if found[-1].closes else found[-1].rest
    return found


def outcome(received, sent, ended):
    """How one request ended: whole, refused, unread, or text that says what is wrong."""
    answers = answers_in(received)
    if not answers:
        return "unread" if not received and ended - sent <= UNREAD_SECONDS else f"no answer in {ended - sent:.2f} s"
    answer = answers[0]
    if not answer.is_whole:
        return f"cut after {len(received)} bytes"
    if answer.is_refusal:
        return "refused"
    return "whole" if answer.status == 200 else f"{answer.status} {answer.body[:80]!r}"


def exchange(connection, name, path, **options):
    """Sends one request, reads its answer, and returns its outcome."""
    try:
        connection.sendall(request(name, path, **options))
    except OSError:
        return "not taken"
    sent = time.monotonic()
    received = bytearray()
    try:
        while not (answers := answers_in(bytes(received))) or not answers[0].is_whole:
            more = connection.recv(65536)
            if not more:
                break
            received += more
    except OSError:
        pass  # What came until then is judged.
    return outcome(bytes(received), sent, time.monotonic())


def exchange_anew(port, name, path, pause=0.0, **options):
    try:
        connection = connect(port)
    except OSError:
        return "not taken"
    with connection:
        time.sleep(pause)
        return exchange(connection, name, path, **options)


def judge(outcomes, ran):
    """What ran has its whole answer; the rest was refused or never read."""
    lost = {name: how for name, how in outcomes.items() if name in ran and how != "whole"}
    assert not lost, ("passed on to the endpoint without a whole answer", lost)
    odd = {name: how for name, how in outcomes.items() if how not in ("whole", "refused", "unread", "not taken")}
    assert not odd, odd


def sleep_until(moment):
    time.sleep(max(0.0, moment - time.monotonic()))


def together(tasks):
    """Runs the tasks, by name, beside each other and returns what they return."""
    with ThreadPoolExecutor(len(tasks)) as threads:
        running = {name: threads.submit(*task) for name, task in tasks.items()}
        return {name: task.result() for name, task in running.items()}


def stop(fleet, name="entry-1"):
    """Returns when the entry got SIGTERM."""
    fleet.processes[name].terminate()
    return time.monotonic()


def ended_in_time(fleet, stopped, name="entry-1"):
    assert fleet.processes[name].wait(timeout=EXIT_SECONDS) == 0
    took = time.monotonic() - stopped
    assert took < GRACE_MS / 1000, took

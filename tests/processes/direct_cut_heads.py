"""Real entry: endpoints stop in the middle of an answer, at each of its bytes, and close the connection or reset it. A head that ends
early could be taken for a whole one, and its answer for one without a body. Callers get no answer that ends as a whole one does."""
import concurrent.futures
import pathlib
import socket
import struct
import sys
import threading
import time

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parents[2] / "scripts"))
sys.path.insert(0, str(pathlib.Path(__file__).resolve().parent))

from direct_answers import chunk, event  # noqa: E402
from direct_entries import STREAM_TIMEOUT_MS, Entries, configuration  # noqa: E402
from fleet import call, wait_until  # noqa: E402

ENDPOINTS = 6
CALLERS = 16
# A request may be refused before it reaches an endpoint; then it shows nothing, and is asked again.
MAX_TRIES = 400
PAUSE_SECONDS = 0.05
# An entry that has just started sends nothing again otherwise.
BOUNDS = {"repeat_constant": 100_000}
# In place of the position of a cut: the answer is not cut.
WHOLE = "9999"
PLAIN_BODY = b"ten bytes."
FIRST_EVENTS = event(1) + event(2)
# Closing a socket with this linger time of zero resets its connection.
RESETS = struct.pack("ii", 1, 0)

EVENT_STREAM = b"Content-Type: text/event-stream\r\n"
IN_CHUNKS = b"Transfer-Encoding: chunked\r\n\r\n"
LAST_CHUNK = b"0\r\n\r\n"
# The bodies of whole answers, by path.
BODIES = {
    "/read/length": PLAIN_BODY,
    "/read/close": PLAIN_BODY,
    "/read/chunks": PLAIN_BODY,
    "/read/empty": b"",
    "/stream/length": event(1) + event(2),
    "/stream/chunks": event(1) + event(2),
    # The first attempt breaks off behind two events, and the next one is cut.
    "/stream/resumed": event(1) + event(2) + event(3),
}


def head_of(name, endpoint):
    return b"HTTP/1.1 200 OK\r\nX-Attempt-Id: %s\r\nX-Response-Stamp: %s\r\n" % (name.encode(), endpoint.encode())


def answer_of(path, name, endpoint, last_event):
    """Numbers in the framing are valid, and fit an empty body, wherever they are cut."""
    body = BODIES[path]
    if path.startswith("/stream/"):
        # The caller has the events up to the last one that the entry names.
        body = body[len(b"".join(event(number) for number in range(1, last_event + 1))):]
    framing = {"/read/length": b"", "/read/chunks": b"Connection: close\r\n", "/read/empty": b"Connection: close\r\n"}.get(
        path, EVENT_STREAM + b"Connection: close\r\n")
    if path.split("/")[2] in ("chunks", "resumed"):
        return head_of(name, endpoint) + framing + IN_CHUNKS + (chunk(body) if body else b"") + LAST_CHUNK
    return head_of(name, endpoint) + framing + b"Content-Length: 0%d\r\n\r\n" % len(body) + body


class CutEndpoint:
    """Answers as the path says: /KIND/ANSWER/CUT/CLOSING/NUMBER."""

    begun = set()
    # Names of requests that got a cut answer.
    cut = set()
    lock = threading.Lock()

    def __init__(self, name):
        self.name = name
        self.listener = socket.create_server(("127.0.0.1", 0), backlog=256)
        self.address = f"127.0.0.1:{self.listener.getsockname()[1]}"
        threading.Thread(target=self.accept, daemon=True).start()

    def accept(self):
        while True:
            connection, _ = self.listener.accept()
            threading.Thread(target=self.serve, args=(connection,), daemon=True).start()

    def serve(self, connection):
        try:
            # An orderly close needs a request that has been read to its end.
            received = b""
            while not received.endswith(b"end of request"):
                more = connection.recv(65536)
                if not more:
                    return
                received += more
            lines = received.split(b"\r\n\r\n", 1)[0].decode().split("\r\n")
            headers = dict(line.split(": ", 1) for line in lines[1:])
            self.answer(connection, lines[0].split()[1], headers["X-Attempt-Id"], int(headers.get("Last-Event-Id", 0)))
        except OSError:
            return
        finally:
            connection.close()

    def answer(self, connection, target, name, last_event):
        _, kind, which, cut, closing, _ = target.split("/")
        path = f"/{kind}/{which}"
        with self.lock:
            is_first = name not in self.begun
            self.begun.add(name)
            if not is_first or which != "resumed":
                self.cut.add(name)
        if which == "resumed" and is_first:
            connection.sendall(head_of(name, self.name) + EVENT_STREAM + IN_CHUNKS + chunk(FIRST_EVENTS))
            return
        answer = answer_of(path, name, self.name, last_event)
        # The rest of a stream is shorter, and is cut as well.
        connection.sendall(answer[:int(cut)] if int(cut) < len(answer) or cut == WHOLE else answer[:-1])
        if closing == "reset":
            connection.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESETS)


def body_and_end(head, rest):
    """The body behind a head, and whether it is whole by its framing."""
    fields = dict(line.lower().split(": ", 1) for line in head.decode().split("\r\n")[1:])
    if "content-length" in fields:
        return rest, len(rest) == int(fields["content-length"])
    assert fields.get("transfer-encoding") == "chunked", head
    body = b""
    while b"\r\n" in rest:
        size, rest = rest.split(b"\r\n", 1)
        length = int(size, 16)
        if length == 0:
            return body, rest == b"\r\n"
        body += rest[:length]
        if rest[length:length + 2] != b"\r\n":
            break
        rest = rest[length + 2:]
    return body, False


def ask(ports, target, name):
    """Returns the status (0 without an answer), the body, and whether the answer ended as a whole one does."""
    received = b""
    with socket.create_connection(("127.0.0.1", ports["callers"]), timeout=30) as connection:
        text = b"end of request"
        connection.sendall((f"POST {target} HTTP/1.1\r\nHost: a.example\r\nAuthorization: Token k1\r\nX-Attempt-Id: {name}\r\n"
                            f"X-Time-Budget-Ms: {STREAM_TIMEOUT_MS}\r\nConnection: close\r\nContent-Length: {len(text)}\r\n\r\n").encode() + text)
        try:
            while more := connection.recv(65536):
                received += more
        except ConnectionResetError:
            pass
    if not received:
        return 0, b"", False
    assert b"\r\n\r\n" in received, ("a part of a head", received)
    head, rest = received.split(b"\r\n\r\n", 1)
    body, is_whole = body_and_end(head, rest)
    return int(head.split()[1]), body, is_whole


def ask_until_cut(ports, path, cut, closing):
    """Asks until an endpoint has sent the cut answer; names have the same length, so that cuts are at the same places."""
    for attempt in range(MAX_TRIES):
        name = f"{path[1:].replace('/', '-')}-{cut:0>4}-{closing}-{attempt:03}"
        answer = ask(ports, f"{path}/{cut}/{closing}/{attempt}", name)
        if name in CutEndpoint.cut:
            return answer
        time.sleep(PAUSE_SECONDS)
    raise AssertionError(f"{path} cut at {cut}: no endpoint sent it in {MAX_TRIES} tries, last {answer}")


def size_of(path, closing):
    last_event = 2 if path == "/stream/resumed" else 0
    return len(answer_of(path, f"{path[1:].replace('/', '-')}-0000-{closing}-000", "e1", last_event))


def main():
    with Entries(bounds=BOUNDS) as fleet:
        fleet.store.put("op", "config", configuration(1, ["k1"]))
        for number in range(1, ENDPOINTS + 1):
            fleet.register(CutEndpoint(f"e{number}"))
        ports = fleet.start("entry-1")
        wait_until("ready", lambda: call(ports["readiness"], "GET", "/v1/ready")[0] == 200)
        cuts = [(path, cut, closing) for path in BODIES for closing in ("fin", "reset") for cut in range(size_of(path, closing))]
        findings = []
        with concurrent.futures.ThreadPoolExecutor(CALLERS) as pool:
            answers = pool.map(lambda each: ask_until_cut(ports, *each), cuts)
            for each, (status, body, is_whole) in zip(cuts, answers):
                if 0 < status < 300 and is_whole:
                    findings.append((each, status, body))
                elif 0 < status < 300 and not BODIES[each[0]].startswith(body):
                    findings.append((each, status, body))
        assert not findings, f"{len(findings)} of {len(cuts)} cut answers looked whole or had other bytes: {findings[:20]}"
        for path, body in BODIES.items():
            answer = ask_until_cut(ports, path, WHOLE, "fin")
            assert answer == (200, body, True), (path, answer)
    print(f"{len(cuts)} cut answers, none of which looked whole; whole ones were passed on")


if __name__ == "__main__":
    main()

"""Real processes: bad input on every open port gets a clear error or a closed connection, memory stays bounded, and
other requests are served meanwhile."""
import base64
import json
import os
import pathlib
import socket
import struct
import sys

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parents[2] / "scripts"))

from fleet import Fleet, call, get_json, wait_until  # noqa: E402

MEBIBYTE = 1024 * 1024
# Room for one body of the largest size per connection and the allocator's slack.
MAX_GROWTH_BYTES = 64 * MEBIBYTE
ANSWER_SECONDS = 30
READ_TIMEOUT_MS = 1000


def exchange(port, data, seconds=ANSWER_SECONDS):
    """Sends raw bytes and returns all that comes back until the peer closes or its answer is complete."""
    with socket.create_connection(("127.0.0.1", port), timeout=seconds) as connection:
        try:
            connection.sendall(data)
            connection.shutdown(socket.SHUT_WR)
        except OSError:
            pass  # The peer may close before it has read everything.
        answer = b""
        try:
            while chunk := connection.recv(65536):
                answer += chunk
        except ConnectionResetError:
            pass
        return answer


def status_of(answer):
    return int(answer.split(b" ", 2)[1]) if answer.startswith(b"HTTP/1.1 ") else None


def post(path, body=b"", headers=()):
    lines = [f"POST {path} HTTP/1.1".encode(), b"Host: x", b"Connection: close",
             f"Content-Length: {len(body)}".encode(), *headers]
    return b"\r\n".join(lines) + b"\r\n\r\n" + body


TEAM = b"Appleramp-Team: kitchen"


def http_cases(port_name):
    """Name, bytes, and the statuses that are right; None stands for a closed connection."""
    yield "no HTTP", b"\x00\x01\x02nonsense\r\n\r\n", {400, None}
    yield "oversized header", post("/v1/status", headers=[b"X: " + b"a" * 200_000]), {400, 431, None}
    yield "many headers", post("/v1/status", headers=[f"X-{i}: a".encode() for i in range(5000)]), {400, 431, None}
    yield "headers over the limit", post(
        "/v1/status", headers=[f"X-{i}: ".encode() + b"a" * 4000 for i in range(50)]), {404} if port_name == "agent" else {431}
    yield "oversized path", post("/" + "a" * 100_000), {400, 404, 414, None}
    yield "wrong path", post("/nothing/here"), {404}
    yield "malformed path", b"GET /%zz HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n", {400}
    if port_name == "agent":
        yield "explain without subject", b"GET /v1/operations/explain HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n", {400}
        yield "body that nobody reads", post("/v1/operations/changes", b"a" * MEBIBYTE), {404, None}
        return
    if port_name == "operations":
        yield "change that is no JSON", post("/v1/operations/changes", b"\xff{"), {400}
        yield "change of unknown type", post(
            "/v1/operations/changes", b'{"change_id":"a","change":{"type":"x","value":{}}}'), {400}
        yield "oversized change", post("/v1/operations/changes", b"a" * (5 * MEBIBYTE)), {413, None}
        yield "explain without subject", b"GET /v1/operations/explain HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n", {400}
        return
    chat = "/v1/chat/completions"
    yield "announced too large", post(chat, headers=[TEAM]).replace(
        b"Content-Length: 0", b"Content-Length: 999999999999"), {413}
    yield "oversized body", post(chat, b"a" * (5 * MEBIBYTE), [TEAM]), {413, None}
    yield "body cut short", post(chat, b"{}", [TEAM]).replace(b"Content-Length: 2", b"Content-Length: 99"), {400, None}
    yield "chunked body cut short", post(chat, b"", [TEAM, b"Transfer-Encoding: chunked"]).replace(
        b"Content-Length: 0\r\n", b"") + b"ff\r\n{", {411}
    yield "negative length", post(chat, headers=[TEAM]).replace(b"Content-Length: 0", b"Content-Length: -5"), {400, 413}
    yield "body that is no JSON", post(chat, b"\xff\xfe{", [TEAM]), {400}
    yield "deeply nested body", post(chat, b"[" * (4 * MEBIBYTE), [TEAM]), {400}
    yield "deeply nested member", post(chat, b'{"x":' * (MEBIBYTE // 2), [TEAM]), {400}
    yield "no team", post(chat, b'{"model":"assistant"}'), {400}
    yield "team that is no text", post(chat, b'{"model":"assistant"}', [b"Appleramp-Team: \xff\xfe"]), {400}
    yield "key that is no text", post(chat, b'{"model":"assistant"}', [TEAM, b"Idempotency-Key: \xff"]), {400}
    yield "service that is no text", post("/v1/services/\xff/x", b"", [TEAM, b"Idempotency-Key: k"]).replace(
        "\xff".encode(), b"\xff"), {400}
    yield "unknown model", post(chat, b'{"model":"nothing"}', [TEAM, b"Idempotency-Key: k"]), {404}
    yield "bad timeout", post(chat, b'{"model":"assistant"}', [TEAM, b"Appleramp-Timeout-Ms: soon"]), {400}


def websocket(port):
    connection = socket.create_connection(("127.0.0.1", port), timeout=ANSWER_SECONDS)
    key = base64.b64encode(os.urandom(16))
    connection.sendall(b"GET / HTTP/1.1\r\nHost: x\r\nUpgrade: websocket\r\nConnection: Upgrade\r\n"
                       b"Sec-WebSocket-Version: 13\r\nSec-WebSocket-Key: " + key + b"\r\n\r\n")
    answer = b""
    while b"\r\n\r\n" not in answer:
        answer += connection.recv(4096)
    assert b" 101 " in answer, answer
    return connection


def frame(payload, announced=None):
    length = len(payload) if announced is None else announced
    if length < 126:
        head = struct.pack("!BB", 0x82, 0x80 | length)
    elif length < 65536:
        head = struct.pack("!BBH", 0x82, 0x80 | 126, length)
    else:
        head = struct.pack("!BBQ", 0x82, 0x80 | 127, length)
    return head + b"\x00" * 4 + payload


LINK_CASES = {
    "broken CBOR": frame(b"\xff\xff\xff"),
    "nested CBOR": frame(b"\x81" * 60_000),
    "CBOR of no message": frame(b"\xa0"),
    "announced too large": frame(b"", announced=1 << 40),
    "truncated frame": frame(b"abc", announced=100),
    "no websocket frame": b"\x00" * 100,
}


CLOSE_FRAME = 0x88


def has_close_frame(data):
    """Walks over the peer's frames, which are not masked."""
    while len(data) >= 2:
        if data[0] == CLOSE_FRAME:
            return True
        length, head = data[1], 2
        if length == 126:
            length, head = int.from_bytes(data[2:4], "big"), 4
        elif length == 127:
            length, head = int.from_bytes(data[2:10], "big"), 10
        data = data[head + length:]
    return False


def is_closed(connection):
    """True once the peer ends the connection or says that it does; on timeout recv raises."""
    received = b""
    try:
        while chunk := connection.recv(65536):
            received += chunk
            if has_close_frame(received):
                return True
    except ConnectionResetError:
        pass
    return True


def check_links(port):
    for name, data in LINK_CASES.items():
        with websocket(port) as connection:
            connection.sendall(data)
            if name == "truncated frame":
                connection.shutdown(socket.SHUT_WR)
            assert is_closed(connection), name
    assert status_of(exchange(port, b"GET / HTTP/1.1\r\nHost: x\r\n\r\n")) in {400, 404, 426}


def resident_bytes(process):
    pages = int(pathlib.Path(f"/proc/{process.pid}/statm").read_text().split()[1])
    return pages * os.sysconf("SC_PAGE_SIZE")


def ask(port, key):
    body = json.dumps({"model": "assistant", "max_tokens": 2, "messages": [{"role": "user", "content": "hello"}]})
    status, _, text = call(port, "POST", "/v1/chat/completions", body,
                           {"Appleramp-Team": "kitchen", "Idempotency-Key": key})
    assert status == 200, (key, status, text)


def check_slow_body(port):
    """A body that drips is refused although it is never silent for long."""
    head = post("/v1/chat/completions", headers=[TEAM]).replace(b"Content-Length: 0", b"Content-Length: 100000")
    with socket.create_connection(("127.0.0.1", port), timeout=ANSWER_SECONDS) as connection:
        connection.sendall(head)
        connection.settimeout(READ_TIMEOUT_MS / 1000 / 10)
        for _ in range(100):
            connection.sendall(b"a")
            try:
                answer = connection.recv(65536)
            except TimeoutError:
                continue
            assert status_of(answer) == 408, answer
            return
    raise AssertionError("no answer to a slow body")


def check_http(fleet, name, port, callers):
    for case, data, expected in http_cases(name):
        status = status_of(exchange(port, data))
        assert status in expected, (name, case, status, expected)
        for process in ("entry-a", "agent-a"):
            assert fleet.processes[process].poll() is None, (name, case, process, "ended")
        # Another request does not suffer.
        ask(callers, f"{name} {case}".replace(" ", "-"))


def main():
    with Fleet() as fleet:
        engine = fleet.engine("engine", "model", "--model=assistant")
        agent = fleet.agent("agent-a", "zone-a", "model", "assistant", engine)
        entry = fleet.entry("entry-a", f"zone-a\n[limits]\nrequest_read_timeout_ms = {READ_TIMEOUT_MS}")
        wait_until("slots", lambda: any(endpoint["slots"] for endpoint in
                                        get_json(entry["operations"], "/v1/status")["endpoints"]))
        before = {name: resident_bytes(fleet.processes[name]) for name in ("entry-a", "agent-a")}
        # A caller that sends half a request and then nothing holds no other request up.
        with socket.create_connection(("127.0.0.1", entry["callers"])) as slow:
            slow.sendall(b"POST /v1/chat/completions HTTP/1.1\r\nHost: x\r\nContent-Length: 10\r\n")
            check_http(fleet, "callers", entry["callers"], entry["callers"])
            check_slow_body(entry["callers"])
            check_http(fleet, "operations", entry["operations"], entry["callers"])
            check_http(fleet, "agent", agent["operations"], entry["callers"])
        for name, port in (("entry-a", entry["links"]), ("agent-a", agent["links"])):
            check_links(port)
            assert fleet.processes[name].poll() is None, name
        ask(entry["callers"], "last")
        for name, size in before.items():
            growth = resident_bytes(fleet.processes[name]) - size
            assert growth < MAX_GROWTH_BYTES, (name, growth)
            print(name, "grew by", growth // 1024, "KiB")


if __name__ == "__main__":
    main()

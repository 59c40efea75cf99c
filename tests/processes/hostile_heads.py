"""Real entry: heads over the limit or without end, empty lines without end, heads of very many fields, and bodies at the ports that
take none. Guards against a process that keeps what comes before or beside a request without a bound."""
import pathlib
import sys

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parents[2] / "scripts"))
sys.path.insert(0, str(pathlib.Path(__file__).resolve().parent))

from hostile_callers import HEAD, MAX_BODY_BYTES, MAX_HEADER_BYTES, MEBIBYTE, PIECE, HostileCallers, head  # noqa: E402

PORTS = ("callers", "directory", "readiness", "operations")
HEADS = 48
BYTES = 4 * MEBIBYTE
ENDLESS = {
    "a field without end": (b"GET /v1/ready HTTP/1.1\r\nX: ", b"a" * PIECE),
    "fields without end": (b"GET /v1/ready HTTP/1.1\r\n", b"X-Field: aaaaaaaaaaaaaaaaaaaa\r\n" * 2048),
    "a target without end": (b"GET /", b"a" * PIECE),
    "empty lines without end": (b"", b"\r\n" * (PIECE // 2)),
    "line feeds without end": (b"", b"\n" * PIECE),
}
# Connections that send a head of the largest size, and not the whole body.
FULL_HEADS = 400
FIELD = b"a:\r\n"
BODIES = 4
BODY_BYTES = 40 * MEBIBYTE


def full_head(name):
    begin = HEAD.format(name=name, budget=4000).encode() + f"Content-Length: {MAX_BODY_BYTES}\r\n".encode()
    fields = (MAX_HEADER_BYTES - len(begin) - 2) // len(FIELD)
    return begin + FIELD * fields + b"\r\n"


def main():
    with HostileCallers() as crowd:
        for what, (begin, piece) in ENDLESS.items():
            for port in PORTS:
                for _ in range(HEADS):
                    caller = crowd.connect(port)
                    caller.send(begin)
                    caller.send_repeatedly(piece, BYTES)
            crowd.check(what)

        for number in range(FULL_HEADS):
            crowd.connect().send(full_head(f"full-{number}") + b"b")
        crowd.check("heads of many fields")

        for port in PORTS[1:]:
            for _ in range(BODIES):
                caller = crowd.connect(port)
                caller.send(head("body", f"Content-Length: {BODY_BYTES}"))
                caller.send_repeatedly(b"b" * PIECE, BODY_BYTES - PIECE)
            crowd.check(f"bodies at the port of {port}")


if __name__ == "__main__":
    main()

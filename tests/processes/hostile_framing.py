"""Real entry: trailers and chunk extensions without end behind a chunked body. Guards against a process that keeps what it can't parse
yet until it has no memory left, or that scans it again for each piece and serves nobody else."""
import pathlib
import sys

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parents[2] / "scripts"))
sys.path.insert(0, str(pathlib.Path(__file__).resolve().parent))

from hostile_callers import MEBIBYTE, PIECE, HostileCallers, head  # noqa: E402

BYTES = 160 * MEBIBYTE
CHUNKED = "Transfer-Encoding: chunked"
FIELD = b"X-Trailer: " + b"t" * 500 + b"\r\n"
CASES = {
    "trailer fields": (b"2\r\n{}\r\n0\r\n", FIELD * (PIECE // len(FIELD))),
    "one trailer field": (b"2\r\n{}\r\n0\r\nX-Trailer: ", b"t" * PIECE),
    "chunk extension": (b"2;x=", b"e" * PIECE),
    "extension of the last chunk": (b"2\r\n{}\r\n0;x=", b"e" * PIECE),
}


def main():
    with HostileCallers() as crowd:
        for what, (begin, piece) in CASES.items():
            caller = crowd.connect()
            caller.send(head(what.replace(" ", "-"), CHUNKED) + begin)
            caller.send_repeatedly(piece, BYTES)
            crowd.check(what)
        assert len(crowd.endpoint.ids) == len(CASES), crowd.endpoint.ids


if __name__ == "__main__":
    main()

"""Real entry: bodies of the largest size allowed, whole or piece by piece, that stop a byte short of their end and stay open. Guards
against a process that holds every unfinished body until its memory is gone."""
import pathlib
import sys

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parents[2] / "scripts"))
sys.path.insert(0, str(pathlib.Path(__file__).resolve().parent))

from hostile_callers import MAX_BODY_BYTES, PIECE, HostileCallers, head  # noqa: E402

UPLOADS = 48
SMALL_UPLOADS = 400
SMALL_BODY_BYTES = 512 * 1024
CHUNK = b"%x\r\n" % PIECE + b"b" * PIECE + b"\r\n"
LENGTH = f"Content-Length: {MAX_BODY_BYTES}"


def main():
    with HostileCallers() as crowd:
        for number in range(UPLOADS):
            crowd.connect().send(head(f"whole-{number}", LENGTH) + b"b" * (MAX_BODY_BYTES - 1))
        crowd.check("bodies with a length")

        pieces = [crowd.connect() for _ in range(UPLOADS)]
        for number, caller in enumerate(pieces):
            caller.send(head(f"piecewise-{number}", LENGTH))
        for _ in range(MAX_BODY_BYTES // PIECE - 1):
            for caller in pieces:
                caller.send(b"b" * PIECE)
        crowd.check("bodies piece by piece")

        for number in range(UPLOADS):
            caller = crowd.connect()
            caller.send(head(f"chunked-{number}", "Transfer-Encoding: chunked"))
            for _ in range(MAX_BODY_BYTES // PIECE):
                caller.send(CHUNK)
        crowd.check("bodies in chunks")

        for number in range(SMALL_UPLOADS):
            crowd.connect().send(head(f"small-{number}", f"Content-Length: {SMALL_BODY_BYTES}") + b"b" * (SMALL_BODY_BYTES - 1))
        crowd.check("smaller bodies")
        assert all(name.startswith("ordinary") for name in crowd.endpoint.ids), crowd.endpoint.ids


if __name__ == "__main__":
    main()

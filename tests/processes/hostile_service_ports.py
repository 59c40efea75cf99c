"""Real entry: heads of very many fields, with bodies that do not end, at the ports of addresses, readiness and operations. Guards against a
process that bounds each of these requests and not their sum."""
import pathlib
import sys

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parents[2] / "scripts"))
sys.path.insert(0, str(pathlib.Path(__file__).resolve().parent))

from hostile_callers import MAX_HEADER_BYTES, HostileCallers  # noqa: E402

PORTS = ("directory", "readiness", "operations")
CONNECTIONS = 250
# Those of the smallest machine; a tenth of them are for each of the ports.
DESCRIPTORS = 2870
BEGIN = b"POST /v1/ready HTTP/1.1\r\nHost: x\r\nContent-Length: 10\r\n"
FIELD = b"a:\r\n"
HEAD = BEGIN + FIELD * ((MAX_HEADER_BYTES - len(BEGIN) - 2) // len(FIELD)) + b"\r\n"


def main():
    with HostileCallers(descriptors=DESCRIPTORS) as crowd:
        for port in PORTS:
            for _ in range(CONNECTIONS):
                crowd.connect(port).send(HEAD + b"b")
        crowd.check("heads of many fields at the other ports")


if __name__ == "__main__":
    main()

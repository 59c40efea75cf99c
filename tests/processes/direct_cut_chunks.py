"""Real entry: callers and endpoints whose bodies in chunks are empty or small, and come a byte at a time. Each is read as it was meant, and none
ends the process, which would break off what it holds for all others."""
import pathlib
import socket
import sys
import time

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parents[2] / "scripts"))
sys.path.insert(0, str(pathlib.Path(__file__).resolve().parent))

from direct_entries import Entries, configuration  # noqa: E402
from fleet import call, wait_until  # noqa: E402
from raw_endpoint import RawEndpoint  # noqa: E402

# Time for the peer to read what was sent before the next byte follows.
PAUSE_SECONDS = 0.005
BODIES = {"empty": b"0\r\n\r\n", "trailer": b"0\r\nX-T: 1\r\n\r\n", "extension": b"0;a=b\r\n\r\n", "small": b"3\r\nabc\r\n0\r\n\r\n"}
CONTENT = {"small": b"abc"}


def send_slowly(connection, head, body):
    connection.sendall(head)
    for byte in body:
        time.sleep(PAUSE_SECONDS)
        connection.sendall(bytes([byte]))


class SlowEndpoint(RawEndpoint):
    """Answers in chunks, a byte at a time: /read/NAME/SIDE."""

    bodies = {}

    def answer(self, connection, request):
        _, _, which, side = request.target.split("/")
        self.bodies[request.name] = request.body
        head = f"HTTP/1.1 200 OK\r\nX-Attempt-Id: {request.name}\r\nX-Response-Stamp: {self.name}\r\n".encode()
        if side == "caller":
            connection.sendall(head + b"Content-Length: 2\r\n\r\nok")
        else:
            send_slowly(connection, head + b"Transfer-Encoding: chunked\r\n\r\n", BODIES[which])
        return True


def ask_slowly(port, which):
    with socket.create_connection(("127.0.0.1", port), timeout=10) as connection:
        connection.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        head = (f"POST /read/{which}/caller HTTP/1.1\r\nHost: a.example\r\nAuthorization: Token k1\r\nX-Attempt-Id: caller-{which}\r\n"
                "X-Time-Budget-Ms: 3000\r\nConnection: close\r\nTransfer-Encoding: chunked\r\n\r\n").encode()
        send_slowly(connection, head, BODIES[which])
        received = b""
        while more := connection.recv(65536):
            received += more
    return received


def main():
    with Entries() as fleet:
        fleet.store.put("op", "config", configuration(1, ["k1"]))
        fleet.register(SlowEndpoint("e1"))
        ports = fleet.start("entry-1")
        wait_until("ready", lambda: call(ports["readiness"], "GET", "/v1/ready")[0] == 200)
        for which in BODIES:
            try:
                answer = ask_slowly(ports["callers"], which)
            except OSError as problem:
                answer = repr(problem).encode()
            assert answer.startswith(b"HTTP/1.1 200 ") and answer.endswith(b"ok"), (which, answer, fleet.processes["entry-1"].poll())
            assert SlowEndpoint.bodies[f"caller-{which}"] == CONTENT.get(which, b""), (which, SlowEndpoint.bodies)
            headers = {"Host": "a.example", "Authorization": "Token k1", "X-Attempt-Id": f"endpoint-{which}", "X-Time-Budget-Ms": "3000"}
            status, _, body = call(ports["callers"], "POST", f"/read/{which}/endpoint", b"{}", headers)
            assert (status, body.encode()) == (200, CONTENT.get(which, b"")), (which, status, body)
        assert fleet.processes["entry-1"].poll() is None
    print(f"{len(BODIES)} bodies in chunks from callers and from endpoints, a byte at a time, were read as they were meant")


if __name__ == "__main__":
    main()

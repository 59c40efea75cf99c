"""Real entry before endpoints that are sound and read long requests slowly: they pause with a full window for longer than an entry waits for a
dead one, before or behind the beginning of their answer. The entry must not end their connections."""
import pathlib
import sys
import threading
import time

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parents[2] / "scripts"))
sys.path.insert(0, str(pathlib.Path(__file__).resolve().parent))

from direct_early_answers import BOUNDS, HALF, RECEIVE_BUFFER, WHOLE, ask, routes  # noqa: E402
from direct_entries import Entries  # noqa: E402
from fleet import call, wait_until  # noqa: E402
from raw_endpoint import RawEndpoint  # noqa: E402

# An entry gives a silent connection up after 2.5 s.
READING_PAUSE_SECONDS = 4.0
UPLOADS = 8


class SlowReader(RawEndpoint):
    """Begins its answer before its pause, or answers behind it, as the path says: /post/early/NUMBER or /post/late/NUMBER."""

    READS_BODIES = False

    def __init__(self, name):
        super().__init__(name, RECEIVE_BUFFER)

    def answer(self, connection, request):
        is_early = request.target.split("/")[2] == "early"
        head = f"HTTP/1.1 200 OK\r\nX-Attempt-Id: {request.name}\r\nX-Response-Stamp: {self.name}\r\nConnection: close\r\n".encode()
        if is_early:
            connection.sendall(head + b"\r\n" + HALF)
        time.sleep(READING_PAUSE_SECONDS)
        left = int(request.headers["content-length"]) - len(request.body)
        while left > 0 and (more := connection.recv(262144)):
            left -= len(more)
        connection.sendall(WHOLE[len(HALF):] if is_early else head + b"Content-Length: %d\r\n\r\n" % len(WHOLE) + WHOLE)
        return False


def main():
    with Entries(bounds=BOUNDS) as fleet:
        fleet.store.put("op", "config", routes())
        for number in range(4):
            fleet.register(SlowReader(f"e{number}"))
        ports = fleet.start("entry-1")
        wait_until("ready", lambda: call(ports["readiness"], "GET", "/v1/ready")[0] == 200)
        answers = {}

        def upload(number):
            kind = ("early", "late")[number % 2]
            answers[f"{kind}-{number}"] = ask(ports["callers"], f"/post/{kind}/{number}", f"{kind}-{number}")

        threads = [threading.Thread(target=upload, args=(number,)) for number in range(UPLOADS)]
        for thread in threads:
            thread.start()
        for thread in threads:
            thread.join()
        lost = {name: (status, body[:80]) for name, (status, body) in answers.items() if (status, body) != (200, WHOLE)}
        assert not lost, f"{len(lost)} of {UPLOADS} uploads to sound endpoints were broken off: {lost}"
    print(f"{UPLOADS} uploads to endpoints that paused for {READING_PAUSE_SECONDS} s were answered whole")


if __name__ == "__main__":
    main()

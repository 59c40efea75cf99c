"""Real entry before endpoints that answer long requests before they have read them, without a length, and reset some of the connections while
the request is still being written. A caller must not get the part that came as a whole answer; sound endpoints that read on lose none."""
import concurrent.futures
import http.client
import pathlib
import sys
import time

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parents[2] / "scripts"))
sys.path.insert(0, str(pathlib.Path(__file__).resolve().parent))

from direct_answers import event  # noqa: E402
from direct_entries import Entries, configuration  # noqa: E402
from fleet import call, wait_until  # noqa: E402
from raw_endpoint import RawEndpoint  # noqa: E402

ENDPOINTS = 6
CALLERS = 6
ROUNDS = 4
BOUNDS = {"repeat_constant": 100_000}
MAX_TRIES = 400
PAUSE_SECONDS = 0.05
BODY_BYTES = 4_000_000
MAX_BODY_BYTES = 4_194_304
RECEIVE_BUFFER = 64 * 1024
PIECES = [event(number) for number in range(1, 41)]
WHOLE = b"".join(PIECES)
HALF = b"".join(PIECES[:20])


class EarlyEndpoint(RawEndpoint):
    """Answers as the path says before it reads the body: /ROUTE/ENDING/NUMBER."""

    READS_BODIES = False
    reached = set()

    def __init__(self, name):
        super().__init__(name, RECEIVE_BUFFER)

    def answer(self, connection, request):
        _, _, ending, _ = request.target.split("/")
        self.reached.add(request.name)
        first = int(request.headers.get("last-event-id", 0))
        connection.sendall(f"HTTP/1.1 200 OK\r\nX-Attempt-Id: {request.name}\r\nX-Response-Stamp: {self.name}\r\nConnection: close\r\n\r\n".encode())
        if ending == "reset":
            connection.sendall(b"".join(PIECES[first:20]))
            # The entry has begun to write the body when its first bytes are here. Closed with unread bytes, the connection is reset.
            connection.recv(1)
            return False
        connection.sendall(b"".join(PIECES[first:]))
        left = int(request.headers["content-length"]) - len(request.body)
        while left > 0 and (more := connection.recv(262144)):
            left -= len(more)
        return False


def routes():
    whole = configuration(1, ["k1"])
    whole["limits"]["max_body_bytes"] = MAX_BODY_BYTES
    whole["routes"].append({**whole["routes"][0], "name": "post", "prefix": "/post/", "kind": "unsafe", "max_attempts": 1})
    for route in whole["routes"]:
        route["timeout_ms"] = 8000
    return whole


def ask(port, target, name):
    headers = {"Host": "a.example", "Authorization": "Token k1", "X-Attempt-Id": name, "X-Time-Budget-Ms": "8000"}
    connection = http.client.HTTPConnection("127.0.0.1", port, timeout=30)
    try:
        connection.request("POST", target, b"b" * BODY_BYTES, headers)
        response = connection.getresponse()
        return response.status, response.read()
    except http.client.IncompleteRead as broken:
        return 0, broken.partial
    except (OSError, http.client.HTTPException) as broken:
        return 0, repr(broken).encode()
    finally:
        connection.close()


def main():
    with Entries(bounds=BOUNDS) as fleet:
        fleet.store.put("op", "config", routes())
        for number in range(ENDPOINTS):
            fleet.register(EarlyEndpoint(f"e{number}"))
        ports = fleet.start("entry-1")
        wait_until("ready", lambda: call(ports["readiness"], "GET", "/v1/ready")[0] == 200)

        def ask_until_reached(question):
            """An endpoint that fails is avoided for a while, and the request is refused before it reaches one. Then it is asked again."""
            route, ending, number = question
            for attempt in range(MAX_TRIES):
                name = f"{route}-{ending}-{number}-{attempt}"
                seen = ask(ports["callers"], f"/{route}/{ending}/{number}-{attempt}", name)
                if name in EarlyEndpoint.reached:
                    return seen
                time.sleep(PAUSE_SECONDS)
            raise AssertionError(f"{question}: reached no endpoint in {MAX_TRIES} tries, last {seen}")

        questions = [(route, ending, number) for number in range(ROUNDS) for route in ("read", "post", "stream") for ending in ("whole", "reset")]
        with concurrent.futures.ThreadPoolExecutor(CALLERS) as pool:
            answers = list(pool.map(ask_until_reached, questions))
        halves = [(question, status, len(body)) for question, (status, body) in zip(questions, answers) if status == 200 and body != WHOLE]
        assert not halves, f"{len(halves)} of {len(questions)} callers got a part of an answer as a whole one of {len(WHOLE)} bytes: {halves}"
        lost = [(question, status, body[:80]) for question, (status, body) in zip(questions, answers) if question[1] == "whole" and (status, body) != (200, WHOLE)]
        assert not lost, f"sound answers were lost: {lost}"
        endings = {line["ending"] for line in fleet.logged("entry-1", "attempt_ended")}
        assert "cut_answer" in endings, endings
    print(f"{len(questions)} early answers, of which no part looked whole; those of sound endpoints arrived")


if __name__ == "__main__":
    main()

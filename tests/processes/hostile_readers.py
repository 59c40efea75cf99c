"""Real entry: callers that ask for large answers and read nothing. Guards against a process that holds the answers of all of them until
its memory is gone."""
import pathlib
import sys

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parents[2] / "scripts"))
sys.path.insert(0, str(pathlib.Path(__file__).resolve().parent))

from fleet import wait_until  # noqa: E402
from hostile_callers import HostileCallers, head  # noqa: E402
from platform_stand_in import Endpoint  # noqa: E402

READERS = 60
RECEIVE_BUFFER = 16 * 1024
ANSWER_BYTES = 6 * 1024 * 1024


class LargeAnswers(Endpoint):
    def answer(self, method, path, headers, body):
        status, answer, text = super().answer(method, path, headers, body)
        return status, answer, b"x" * ANSWER_BYTES if path.startswith("/read/large") else text


def main():
    with HostileCallers(LargeAnswers("e1")) as crowd:
        caller = crowd.connect()
        caller.send(head("large-alone", "Content-Length: 2") + b"{}")
        answer = caller.answer()
        assert answer is not None and answer[0] == 200 and len(answer[2]) == ANSWER_BYTES, answer and answer[0]
        for number in range(READERS):
            crowd.connect(receive_buffer=RECEIVE_BUFFER).send(head(f"large-{number}", "Content-Length: 2") + b"{}")
            wait_until("the request is over", lambda: crowd.gauge("appleramp_requests_in_flight") == 0)
        crowd.check("large answers that nobody reads")
        for number in range(READERS):
            crowd.connect(receive_buffer=RECEIVE_BUFFER).send(head(f"large-at-once-{number}", "Content-Length: 2") + b"{}")
        wait_until("the requests are over", lambda: crowd.gauge("appleramp_requests_in_flight") == 0)
        crowd.check("large answers at once that nobody reads")


if __name__ == "__main__":
    main()

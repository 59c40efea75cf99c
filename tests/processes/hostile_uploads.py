"""Real entry: many whole requests with bodies of the largest size at once, before an endpoint that takes its time. Guards against a
process that keeps several copies of each, also after the answer, until its memory is gone."""
import pathlib
import sys

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parents[2] / "scripts"))
sys.path.insert(0, str(pathlib.Path(__file__).resolve().parent))

from hostile_callers import MAX_BODY_BYTES, HostileCallers, head, is_not_run  # noqa: E402

UPLOADS = 48
WORK_SECONDS = 1.0
BODY = b"b" * MAX_BODY_BYTES


def main():
    with HostileCallers() as crowd:
        # In calm, one request of the largest size is served.
        caller = crowd.connect()
        caller.send(head("alone", f"Content-Length: {MAX_BODY_BYTES}") + BODY)
        answer = caller.answer()
        assert answer is not None and answer[0] == 200, answer
        crowd.check("one upload")

        crowd.endpoint.work_seconds = WORK_SECONDS
        names = [f"upload-{number}" for number in range(UPLOADS)]
        callers = [crowd.connect() for _ in names]
        for name, caller in zip(names, callers):
            caller.send(head(name, f"Content-Length: {MAX_BODY_BYTES}") + BODY)
        answers = [caller.answer() for caller in callers]
        crowd.endpoint.work_seconds = 0.0
        for name, answer in zip(names, answers):
            assert answer is None or answer[0] < 500 or answer[0] in (502, 504) or is_not_run(answer), (name, answer)
            # What is said not to have run reached no endpoint.
            assert answer is None or not is_not_run(answer) or name not in crowd.endpoint.ids, (name, answer)
        assert any(answer is not None and answer[0] == 200 for answer in answers), answers
        crowd.check("uploads at once")


if __name__ == "__main__":
    main()

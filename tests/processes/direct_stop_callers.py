"""Real entry, planned stops with callers that send on without waiting, that upload slowly, and that read late. Guards against a request
that is run though its answer can't reach its caller, and against answers that are lost to a reset when the process ends."""
import pathlib
import socket
import sys
import time
from collections import Counter

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parents[2] / "scripts"))
sys.path.insert(0, str(pathlib.Path(__file__).resolve().parent))

from direct_entries import Entries  # noqa: E402
from fleet import wait_until  # noqa: E402
from stopping_callers import (GRACE_MS, answers_in, connect, ended_in_time, judge, outcome, read_to_end, request, rules,  # noqa: E402
                              sleep_until, started_entry, stop, together)

SMALL_BUFFER = 16 * 1024
MAX_BODY_BYTES = 1024 * 1024
# Requests that a caller sends at once, the bytes with which each is padded, and the bytes of each answer.
PIPELINES = ((2, 0, 10), (10, 0, 100000), (50, 0, 10), (50, 4000, 1000), (30, 12000, 10), (3, 0, 3000000), (6, 8000, 2000000))
READ_AFTER_SECONDS = (0.0, 1.0, 3.0)
UPLOAD_SECONDS = (0.5, 2.0, 3.5)
LARGE_BYTES = (1000000, 3000000, 7000000)
SLOW_READ_AFTER = (0.0, 2.0, 4.0, 6.0)


def pipeline(port, name, count, padding, size, read_after):
    """Sends requests without waiting, and returns the outcome of each."""
    with connect(port, SMALL_BUFFER) as connection:
        sent = time.monotonic()
        connection.setblocking(False)
        pending = b"".join(request(f"{name}-{number}", f"/read/0.02/{size}", padding=padding) for number in range(count))
        received = bytearray()
        while time.monotonic() < sent + read_after:
            pending = send_some(connection, pending)
            time.sleep(0.01)
        return read_and_send(connection, pending, received, name, count)


def send_some(connection, pending):
    try:
        return pending[connection.send(pending):] if pending else pending
    except BlockingIOError:
        return pending
    except OSError:
        return b""


def read_and_send(connection, pending, received, name, count):
    last = time.monotonic() + 15
    while time.monotonic() < last:
        pending = send_some(connection, pending)
        try:
            more = connection.recv(1 << 20)
        except BlockingIOError:
            time.sleep(0.002)
            continue
        except OSError:
            break
        if not more:
            break
        received += more
    whole = {answer.body.rstrip(b"x").decode() for answer in answers_in(bytes(received)) if answer.is_whole and answer.status == 200}
    return {f"{name}-{number}": "whole" if f"{name}-{number}" in whole else "not answered" for number in range(count)}


def play_pipelines(stop_after):
    with Entries(bounds={"grace_ms": GRACE_MS}) as fleet:
        endpoint, ports = started_entry(fleet)
        tasks = {f"p{number}-{after}": (pipeline, ports["callers"], f"p{number}-{after}", *shape, after)
                 for number, shape in enumerate(PIPELINES) for after in READ_AFTER_SECONDS}
        tasks["stop"] = (stop_later, fleet, stop_after)
        results = together(tasks)
        del results["stop"]
        outcomes = {name: how for result in results.values() for name, how in result.items()}
        lost = sorted(name for name, how in outcomes.items() if name in endpoint.ran and how != "whole")
        assert not lost, ("run and not answered", len(lost), lost[:20])
        assert len(endpoint.ran) >= len(tasks), len(endpoint.ran)
        return Counter(outcomes.values())


def stop_later(fleet, seconds):
    time.sleep(seconds)
    ended_in_time(fleet, stop(fleet))


def main():
    pipelines = [play_pipelines(after) for after in (0.1, 0.3, 0.8)]
    print(f"pipelines: {pipelines}")


if __name__ == "__main__":
    main()

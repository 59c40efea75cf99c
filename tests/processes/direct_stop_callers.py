"""Real entry, planned stops with callers that send on without waiting, that upload slowly, and that read late. Guards against a request
that is run though its answer can't reach its caller, and against answers that are lost to a reset when the process ends."""
import pathlib
import socket
import sys
import threading
import time
from collections import Counter

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parents[2] / "scripts"))
sys.path.insert(0, str(pathlib.Path(__file__).resolve().parent))

from direct_entries import Entries  # noqa: E402
from fleet import wait_until  # noqa: E402
from stopping_callers import (GRACE_MS, answers_in, connect, ended_in_time, exchange_anew, judge, outcome, read_to_end,  # noqa: E402
                              request, rules, sleep_until, started_entry, stop, together)

SMALL_BUFFER = 16 * 1024
MAX_BODY_BYTES = 1024 * 1024
# Requests that a caller sends at once, the bytes with which each is padded, and the bytes of each answer.
PIPELINES = ((2, 0, 10), (10, 0, 100000), (50, 0, 10), (50, 4000, 1000), (30, 12000, 10), (3, 0, 3000000), (6, 8000, 2000000))
READ_AFTER_SECONDS = (0.0, 1.0, 3.0)
UPLOAD_SECONDS = (0.5, 2.0, 3.5)
# Times for which callers go on sending what was answered early.
EARLY_SECONDS = (0.0, 0.5, 3.0)
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


def upload(port, name, seconds):
    """Sends a body of the largest size over so many seconds."""
    pieces = 50
    with connect(port) as connection:
        whole = request(name, "/post/0.1/10", b"b" * MAX_BODY_BYTES)
        head, step = len(whole) - MAX_BODY_BYTES, MAX_BODY_BYTES // pieces
        started = time.monotonic()
        try:
            connection.sendall(whole[:head])
            for number in range(pieces):
                connection.sendall(whole[head + number * step:head + (number + 1) * step])
                sleep_until(started + seconds * (number + 1) / pieces)
            connection.sendall(whole[head + pieces * step:])
        except OSError:
            return "not taken"
        sent = time.monotonic()
        return outcome(*close_after_answer(connection, sent))


def close_after_answer(connection, sent):
    received, ended = read_to_end(connection)
    return received, sent, ended


def answered_early(port, status, seconds):
    """Sends what the entry does not take to its end, over so many seconds, and only then reads."""
    head = request("early", "/post/0/10").removesuffix(b"Content-Length: 0\r\n\r\n")
    starts = {413: head + f"Content-Length: {2 * MAX_BODY_BYTES}\r\n\r\n".encode(), 431: head + b"X-Long: ", 408: head}
    rest = {413: 2 * MAX_BODY_BYTES, 431: 200000, 408: 0}[status]
    pieces = 50
    with connect(port) as connection:
        started = time.monotonic()
        try:
            connection.sendall(starts[status])
            for number in range(pieces):
                connection.sendall(b"b" * (rest // pieces))
                sleep_until(started + seconds * (number + 1) / pieces)
        except OSError:
            pass  # The answer may still be there.
        received, _ = read_to_end(connection)
        return answers_in(received)[0].status if answers_in(received) else f"nothing in {time.monotonic() - started:.2f} s"


def play_uploads():
    with Entries(bounds={"grace_ms": GRACE_MS}) as fleet:
        endpoint, ports = started_entry(fleet, rules(MAX_BODY_BYTES))
        port = ports["callers"]
        uploads = {f"upload-{seconds}": (upload, port, f"upload-{seconds}", seconds) for seconds in UPLOAD_SECONDS}
        early = {(status, seconds): (answered_early, port, status, seconds) for status in (413, 431) for seconds in EARLY_SECONDS}
        early[408, 0] = (answered_early, port, 408, 0)
        # It keeps the process until the 408 is due.
        long = {"long": (exchange_anew, port, "long", "/post/4.5/10"), "stop": (stop_later, fleet, 0.3)}
        results = together({**uploads, **early, **long})
        outcomes = {name: results[name] for name in (*uploads, "long")}
        judge(outcomes, endpoint.ran)
        assert outcomes["long"] == "whole" and outcomes["upload-0.5"] == "whole" and outcomes["upload-2.0"] == "whole", outcomes
        unread = {case: results[case] for case in early if results[case] != case[0]}
        assert not unread, unread
        return Counter(outcomes.values())


def read_late(port, name, size, stopped, read_after):
    with connect(port, SMALL_BUFFER) as connection:
        connection.sendall(request(name, f"/read/0/{size}"))
        connection.recv(1, socket.MSG_PEEK)
        stopped.wait(10)
        time.sleep(read_after)
        received, ended = read_to_end(connection)
        return outcome(received, ended, ended)


def play_slow_readers():
    with Entries(bounds={"grace_ms": GRACE_MS}) as fleet:
        endpoint, ports = started_entry(fleet)
        stopped = threading.Event()
        tasks = {f"r{size}-{after}": (read_late, ports["callers"], f"r{size}-{after}", size, stopped, after)
                 for size in LARGE_BYTES for after in SLOW_READ_AFTER}
        tasks["stop"] = (stop_when_run, fleet, endpoint, len(tasks), stopped)
        outcomes = together(tasks)
        del outcomes["stop"]
        judge(outcomes, endpoint.ran)
        assert set(outcomes.values()) == {"whole"}, outcomes
        return len(outcomes)


def stop_when_run(fleet, endpoint, count, stopped):
    wait_until("the answers", lambda: len(endpoint.ran) == count)
    at = stop(fleet)
    stopped.set()
    ended_in_time(fleet, at)


def stop_later(fleet, seconds):
    time.sleep(seconds)
    ended_in_time(fleet, stop(fleet))


def main():
    pipelines = [play_pipelines(after) for after in (0.1, 0.3, 0.8)]
    uploads = [play_uploads() for _ in range(2)]
    readers = [play_slow_readers() for _ in range(2)]
    print(f"pipelines: {pipelines}; uploads: {uploads}; slow readers that got all: {readers}")


if __name__ == "__main__":
    main()

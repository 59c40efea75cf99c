"""Real entry: callers that send small sound requests one behind the other and read no answer. Guards against a process that takes in more
of them for each one that it answers."""
import pathlib
import sys
import threading

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parents[2] / "scripts"))
sys.path.insert(0, str(pathlib.Path(__file__).resolve().parent))

from hostile_callers import MEBIBYTE, HostileCallers  # noqa: E402

CALLERS = 24
BYTES = 8 * MEBIBYTE
RECEIVE_BUFFER = 16 * 1024
# A process that takes no more input of a connection stops the sender, which gives up then.
SEND_SECONDS = 2
# Answered by the entry itself.
REQUEST = b"GET /nowhere/ HTTP/1.1\r\nHost: a.example\r\nX-Attempt-Id: pipelined\r\n\r\n"


def send_all(caller):
    caller.socket.settimeout(SEND_SECONDS)
    try:
        caller.send_repeatedly(REQUEST * 256, BYTES)
    except AssertionError:
        pass


def main():
    with HostileCallers() as crowd:
        callers = [crowd.connect(receive_buffer=RECEIVE_BUFFER) for _ in range(CALLERS)]
        threads = [threading.Thread(target=send_all, args=(caller,)) for caller in callers]
        for thread in threads:
            thread.start()
        for thread in threads:
            thread.join()
        crowd.check("requests behind one another")


if __name__ == "__main__":
    main()

"""One of seven servers fails two fifths of the requests that it has run, with a 503 of its own that does not say X-Not-Executed. Counts
requests that may run once, have run, and were answered with a status that promises "not run". Callers come back after such a promise."""
import pathlib
import sys
import threading
import time

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parents[1] / "lib2"))

from small_fleet import TROUBLE, Server, SmallFleet, configuration, connect, finish, headers_of, read_answer  # noqa: E402

SERVERS, ORDERS, CALLERS = 7, 1500, 5
# The bench's defaults: 0.15 of a service's servers fail 0.4 of their requests.
FAILED_OF_TEN = 4
PROMISES = (408, 421, 429, 503)


class Desk(Server):
    """Books orders. A faulty one books as well, fails afterwards, and says so with 503."""

    booked = {}
    lock = threading.Lock()

    def __init__(self, *arguments, is_faulty):
        self.is_faulty = is_faulty
        self.count = 0
        super().__init__(*arguments)

    def run(self, connection, request):
        if request.method == "GET":
            return self.send(connection, request, 200, b"", f"X-Instance-Id: {self.name}\r\n")
        with self.lock:
            self.booked.setdefault(request.path, []).append(request.id)
            self.count += 1
            fails = TROUBLE and self.is_faulty and self.count % 10 < FAILED_OF_TEN
        self.record.write(f"{self.name} runs {request.id} for {request.path}{', then fails' if fails else ''}")
        time.sleep(0.02)
        return self.send(connection, request, 503 if fails else 200, b"out of order" if fails else b"booked")


def run():
    with SmallFleet(pathlib.Path(__file__).parent) as fleet:
        record, store = fleet.record, fleet.store
        store.put("op", "config", configuration(1, ["order-desk"], [("confirm", "unsafe", "order-desk", {"timeout_ms": 3000, "target_latency_ms": 300})]))
        desks = [Desk(store, record, f"desk-{number}", "order-desk", 6, is_faulty=number == 0) for number in range(SERVERS)]
        entry = fleet.start_entry("entry-1")
        fleet.wait_ready(entry)
        record.write(f"{len(desks)} servers, the entry is ready")
        time.sleep(3)
        answered = {}

        def confirm(order):
            # A client sends an unsafe request once more only after a promise that it has not run.
            for attempt in (1, 2):
                name = f"order-{order}-attempt-{attempt}"
                with connect(entry) as connection:
                    record.write(f"sent {name}")
                    connection.sendall(headers_of(name, f"/confirm/{order}", 3000, 2) + b"{}")
                    answer = read_answer(connection, bytearray())
                answered[name] = answer and answer.status
                record.write(f"{name}: {answer and answer.status}, stamp {answer and answer.headers.get('x-response-stamp')}, {answer and answer.body}")
                if answer is None or answer.status not in PROMISES:
                    return
                time.sleep(float(answer.headers.get("retry-after", 0.1)))

        def caller(first):
            for order in range(first, ORDERS, CALLERS):
                confirm(order)
                time.sleep(0.03)

        threads = [threading.Thread(target=caller, args=(first,)) for first in range(CALLERS)]
        for thread in threads:
            thread.start()
        for thread in threads:
            thread.join()
        ran = {name for names in Desk.booked.values() for name in names}
        broken = sorted(name for name, status in answered.items() if status in PROMISES and name in ran)
        twice = [path for path, names in Desk.booked.items() if len(names) > 1]
        record.write(f"told \"not run\" though they have run: {len(broken)} of {len(answered)}: {' '.join(broken)}")
        record.write(f"orders that the desk has booked twice, as their clients came back: {len(twice)}")
        return bool(broken)


if __name__ == "__main__":
    finish(run)

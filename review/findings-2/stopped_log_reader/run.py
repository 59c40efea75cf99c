"""The reader of an entry's log stands still, and the entry gets SIGHUP, as its settings file has changed. Counts requests that have no final
answer half a second after the timeout of their route."""
import os
import pathlib
import signal
import sys
import threading
import time

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parents[2] / "lib2"))

from small_fleet import TROUBLE, Server, SmallFleet, configuration, connect, finish, headers_of, read_answer  # noqa: E402

TIMEOUT_SECONDS, SLACK_SECONDS = 3.0, 0.5
SERVERS, SLOTS = 16, 12
CROWDS, CROWD = 3, 190
CALM_SECONDS, JUDGED_SECONDS, GAP_SECONDS = 5.0, 10.0, 0.2
SIGNALS, SIGNAL_GAP_SECONDS = 20, 0.25


class Desk(Server):
    """Answers at once, and to a crowd when all of it has come."""

    open_gate = threading.Event()

    def run(self, connection, request):
        if request.id:
            self.record.write(f"{self.name} runs {request.id}")
        if request.path.startswith("/lookup/crowd"):
            self.open_gate.wait(2)
        return self.send(connection, request, 200, b"stock")


def run():
    with SmallFleet(pathlib.Path(__file__).parent) as fleet:
        record, store = fleet.record, fleet.store
        store.put("op", "config", configuration(1, ["order-desk"], [("lookup", "safe", "order-desk", {
            "timeout_ms": int(TIMEOUT_SECONDS * 1000), "target_latency_ms": 3000, "max_attempts": 1})]))
        for number in range(SERVERS):
            Desk(store, record, f"desk-{number}", "order-desk", SLOTS)
        reading, writing = os.pipe()  # Nobody reads the log until the end.
        entry = fleet.start_entry("entry-1", output=writing)
        os.close(writing)
        fleet.wait_ready(entry)
        record.write(f"{SERVERS} servers, the entry is ready; the reader of its log stands still")
        results, lock, threads = {}, threading.Lock(), []

        def send(connection, name, path):
            connection.sendall(headers_of(name, path, int(TIMEOUT_SECONDS * 1000), 0, "GET"))

        def ask(name):
            begun = time.monotonic()
            try:
                with connect(entry) as connection:
                    connection.settimeout(TIMEOUT_SECONDS + SLACK_SECONDS)
                    send(connection, name, "/lookup/x")
                    answer = read_answer(connection, bytearray())
            except OSError:
                answer = None
            record.write(f"{name}: {answer.status if answer else 'no final answer'} after {time.monotonic() - begun:.3f} s")
            with lock:
                results[name] = answer and answer.status

        def ask_for(label, seconds):
            until, names = time.monotonic() + seconds, []
            while time.monotonic() < until:
                names.append(f"{label}-{len(names)}")
                threads.append(threading.Thread(target=ask, args=(names[-1],)))
                threads[-1].start()
                time.sleep(GAP_SECONDS)
            return names

        for crowd in range(CROWDS):
            Desk.open_gate.clear()
            connections = [connect(entry) for _ in range(CROWD)]
            for number, connection in enumerate(connections):
                send(connection, f"crowd-{crowd}-{number}", "/lookup/crowd")
            time.sleep(0.6)
            Desk.open_gate.set()
            answers = [read_answer(connection, bytearray()) for connection in connections]
            for connection in connections:
                connection.close()
            record.write(f"a crowd of {CROWD} requests: {sum(answer is not None and answer.status == 200 for answer in answers)} answered with 200")
            time.sleep(1.2)
        before = ask_for("before", CALM_SECONDS)
        time.sleep(1)
        for _ in range(SIGNALS):
            if TROUBLE:
                fleet.processes["entry-1"].send_signal(signal.SIGHUP)
                record.write("SIGHUP")
            time.sleep(SIGNAL_GAP_SECONDS)
        after = ask_for("after", JUDGED_SECONDS)
        for thread in threads:
            thread.join()
        unanswered = [name for name in after if results[name] is None]
        record.write(f"before: {sum(results[name] == 200 for name in before)} of {len(before)} answered with 200")

        def read_log():
            while os.read(reading, 65536):
                pass

        record.write("the log is read again")
        threading.Thread(target=read_log, daemon=True).start()
        time.sleep(1)
        ask("at-the-end")
        record.write(f"without a final answer {SLACK_SECONDS} s after the route's timeout: {len(unanswered)} of {len(after)}")
        # All of these lasted longer than the timeout, so that a quarter of them is always exceeded.
        return len(unanswered) >= 8


if __name__ == "__main__":
    finish(run)

"""Real entry of the gated fleet, planned stops in calm, with callers that go on, on kept connections and on new ones, until it is gone.
Guards against requests that it reads and never answers, and against a stop that the platform has to end with SIGKILL."""
import http.client
import itertools
import json
import pathlib
import subprocess
import sys
import threading
import time

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parents[2] / "scripts"))

from fleet import Fleet, get_json, wait_until  # noqa: E402

GRACE_SECONDS = 8
CALLERS = 8
WORK_MS = 150
# A connection may end this soon after its request was sent: the process has hardly read it.
UNREAD_SECONDS = 0.2


class Caller(threading.Thread):
    """Sends orders, which may not be repeated without their key, until the entry is gone."""

    def __init__(self, port, number, keeps):
        super().__init__(daemon=True)
        self.port = port
        self.number = number
        self.keeps = keeps
        self.statuses = []
        self.unanswered = []

    def run(self):
        connection = None
        for count in itertools.count():
            try:
                if connection is None:
                    connection = http.client.HTTPConnection("127.0.0.1", self.port, timeout=2 * GRACE_SECONDS)
                    connection.connect()
            except OSError:
                return
            try:
                headers = {"Appleramp-Team": "kitchen", "Content-Type": "application/json", "Idempotency-Key": f"order-{self.number}-{count}"}
                connection.request("POST", "/v1/services/orders/orders", json.dumps({"order": "cabbage"}), headers)
            except OSError:
                connection = None
                continue
            sent = time.monotonic()
            try:
                response = connection.getresponse()
                response.read()
                self.statuses.append(response.status)
                if not self.keeps or response.will_close:
                    connection.close()
                    connection = None
            except (OSError, http.client.HTTPException):
                self.unanswered.append(round(time.monotonic() - sent, 2))
                connection = None


def play():
    with Fleet() as fleet:
        engine = fleet.engine("ledger", "service", f"--work_ms={WORK_MS}")
        fleet.agent("agent-a", "zone-a", "service", "orders", engine, capacity=16, cold_slots=16)
        entry = fleet.entry("entry-a", "zone-a")
        wait_until("slots", lambda: any(endpoint["slots"] for endpoint in get_json(entry["operations"], "/v1/status")["endpoints"]))
        callers = [Caller(entry["callers"], number, number % 2) for number in range(CALLERS)]
        for caller in callers:
            caller.start()
        wait_until("load", lambda: all(len(caller.statuses) > 3 for caller in callers))
        fleet.stop("entry-a")
        stopped = time.monotonic()
        was_killed = False
        try:
            fleet.processes["entry-a"].wait(timeout=GRACE_SECONDS)
        except subprocess.TimeoutExpired:
            was_killed = True
            fleet.processes["entry-a"].kill()
        took = time.monotonic() - stopped
        for caller in callers:
            caller.join(3 * GRACE_SECONDS)
        lost = [seconds for caller in callers for seconds in caller.unanswered if seconds > UNREAD_SECONDS]
        statuses = sorted(set(status for caller in callers for status in caller.statuses))
        assert not lost, ("requests without an answer, and the time that they waited", lost, "killed", was_killed, took)
        assert not was_killed, "the entry was not gone at the end of the grace period"
        assert set(statuses) <= {200, 503}, statuses
        return f"{sum(len(caller.statuses) for caller in callers)} answers, gone after {took:.1f} s"


def main():
    print([play() for _ in range(2)])


if __name__ == "__main__":
    main()

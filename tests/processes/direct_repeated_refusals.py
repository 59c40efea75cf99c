"""Real entry: an endpoint writes an earlier refusal once more on a kept connection, where the answer to a request that it runs is due.
Nobody is told "not run" of a request that has run, and what may run once does not run twice."""
import pathlib
import sys
import threading
from concurrent.futures import ThreadPoolExecutor

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parents[2] / "scripts"))
sys.path.insert(0, str(pathlib.Path(__file__).resolve().parent))

from direct_answers import OddEndpoint  # noqa: E402
from direct_entries import SERVICE, Entries, configuration  # noqa: E402
from fleet import call, wait_until  # noqa: E402

REQUESTS = 120
CALLERS = 4
# An entry that has just started sends nothing again otherwise.
BOUNDS = {"repeat_constant": 100_000}
PROMISES = (408, 421, 429, 503)


def refusal(status, name):
    named = f"X-Attempt-Id: {name}\r\n" if name else ""
    executed = "" if status == 421 else "X-Not-Executed: 1\r\n"
    return f"HTTP/1.1 {status} X\r\n{named}{executed}Content-Length: 4\r\n\r\nfull".encode()


class RefusingEndpoint(OddEndpoint):
    """Refuses each third request on a connection, and writes the refusal once more before the answer to the next one, which it runs."""

    def __init__(self, name, status, names_requests):
        self.status = status
        self.names_requests = names_requests
        self.runs = {}
        self.runs_lock = threading.Lock()
        self.last_refusals = {}
        self.counts = {}
        super().__init__(name)

    def answer(self, connection, path, name):
        number = self.counts[connection] = self.counts.get(connection, 0) + 1
        if number % 3 == 2:
            self.last_refusals[connection] = refusal(self.status, name if self.names_requests else None)
            connection.sendall(self.last_refusals[connection])
            return True
        with self.runs_lock:
            self.runs[name] = self.runs.get(name, 0) + 1
        whole = f"HTTP/1.1 200 OK\r\nX-Attempt-Id: {name}\r\nX-Response-Stamp: {self.name}\r\nContent-Length: {len(name)}\r\n\r\n{name}".encode()
        connection.sendall(self.last_refusals.pop(connection, b"") + whole)
        return True


def configuration_with_writes():
    result = configuration(1, ["k1"])
    result["routes"].append({"name": "write", "host": "a.example", "prefix": "/write/", "kind": "unsafe", "timeout_ms": 3000,
                             "target_latency_ms": 300, "service": SERVICE, "max_attempts": 1})
    return result


def ask(ports, path):
    headers = {"Host": "a.example", "Authorization": "Token k1", "X-Attempt-Id": path, "X-Time-Budget-Ms": "3000"}
    status, headers, text = call(ports["callers"], "POST" if path.startswith("/write/") else "GET", path, None, headers)
    return path, status, headers.get("Appleramp-Execution"), text


def play(status, names_requests):
    """Returns the answers by their statuses."""
    with Entries(bounds=BOUNDS) as fleet:
        endpoints = [RefusingEndpoint(name, status, names_requests) for name in ("e1", "e2", "e3")]
        fleet.store.put("op", "config", configuration_with_writes())
        for endpoint in endpoints:
            fleet.register(endpoint)
        ports = fleet.start("entry-1")
        wait_until("ready", lambda: call(ports["readiness"], "GET", "/v1/ready")[0] == 200)
        paths = [f"/{kind}/{number}" for number in range(REQUESTS) for kind in ("read", "write")]
        with ThreadPoolExecutor(CALLERS) as callers:
            answers = list(callers.map(lambda path: ask(ports, path), paths))
        statuses = {}
        for path, got, execution, text in answers:
            runs = sum(endpoint.runs.get(path, 0) for endpoint in endpoints)
            case = (status, names_requests, path, got, execution, text, runs)
            assert got != 200 or text == path, case
            assert runs == 0 or (got not in PROMISES and execution != "not_run"), case
            assert runs <= 1 or path.startswith("/read/"), case
            statuses[got] = statuses.get(got, 0) + 1
        return statuses


def main():
    for status in (503, 429, 421):
        for names_requests in (True, False):
            statuses = play(status, names_requests)
            assert statuses.get(200, 0) > 0, statuses
            print(f"refusals {status}, {'with' if names_requests else 'without'} the name of their request: {statuses}")


if __name__ == "__main__":
    main()

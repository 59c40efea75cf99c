"""Real entry: SIGTERM under load. Callers go on with open connections until the process is gone; whatever it passed on to an endpoint
gets its whole answer."""
import http.client
import itertools
import pathlib
import sys
import threading

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parents[2] / "scripts"))
sys.path.insert(0, str(pathlib.Path(__file__).resolve().parent))

from direct_entries import Entries, configuration  # noqa: E402
from fleet import call, wait_until  # noqa: E402
from platform_stand_in import Endpoint  # noqa: E402

CALLERS = 8
EXIT_SECONDS = 30
BEFORE_STOP = 40


class Caller(threading.Thread):
    """Sends one request after the other, on a kept connection where it may, until the entry is gone."""

    def __init__(self, port, number):
        super().__init__(daemon=True)
        self.port = port
        self.number = number
        self.answered = set()
        self.broken = set()

    def run(self):
        connection = None
        for count in itertools.count():
            name = f"c{self.number}-{count}"
            if connection is None:
                connection = http.client.HTTPConnection("127.0.0.1", self.port, timeout=EXIT_SECONDS)
                try:
                    connection.connect()
                except OSError:
                    return
            try:
                headers = {"Host": "a.example", "Authorization": "Token k1", "X-Attempt-Id": name, "X-Time-Budget-Ms": "3000"}
                connection.request("GET", "/read/x", None, headers)
                response = connection.getresponse()
                text = response.read()
                if response.status == 200 and text == b"e1":
                    self.answered.add(name)
                if response.getheader("Connection", "").lower() == "close":
                    connection = None
            except (OSError, http.client.HTTPException):
                self.broken.add(name)
                connection = None


def main():
    with Entries() as fleet:
        endpoint = Endpoint("e1")
        endpoint.work_seconds = 0.1
        fleet.store.put("op", "config", configuration(1, ["k1"]))
        fleet.register(endpoint)
        ports = fleet.start("entry-1")
        wait_until("ready", lambda: call(ports["readiness"], "GET", "/v1/ready")[0] == 200)
        callers = [Caller(ports["callers"], number) for number in range(CALLERS)]
        for caller in callers:
            caller.start()
        wait_until("load", lambda: len(endpoint.ids) >= BEFORE_STOP)
        before = len(endpoint.ids)
        fleet.processes["entry-1"].terminate()
        assert fleet.processes["entry-1"].wait(timeout=EXIT_SECONDS) == 0
        for caller in callers:
            caller.join(EXIT_SECONDS)
        answered = set().union(*(caller.answered for caller in callers))
        broken = set().union(*(caller.broken for caller in callers))
        lost = broken & endpoint.ids
        assert not lost, f"passed on and not answered: {sorted(lost)[:10]}"
        assert len(answered) > before, ("nothing was served after the signal", len(answered), before, len(broken), sorted(endpoint.ids)[:5])
    print(f"{len(answered)} requests answered, {len(answered) - before} of them after the signal, none cut off")


if __name__ == "__main__":
    main()

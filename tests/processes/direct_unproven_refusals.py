"""Real entry before endpoints that run a request and then answer with a status that tells callers that it did not run (408, 429, 503),
without the header that states it. A caller that believes the status sends the request again, and it runs twice."""
import itertools
import pathlib
import sys
import threading
import time

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parents[2] / "scripts"))
sys.path.insert(0, str(pathlib.Path(__file__).resolve().parent))

from direct_entries import Entries, configuration  # noqa: E402
from fleet import call, wait_until  # noqa: E402
from raw_endpoint import RawEndpoint  # noqa: E402

# Statuses by which an answer states that its request has not run and never will.
PROMISES = (408, 421, 429, 503)
UNPROVEN = (408, 429, 503)
BOUNDS = {"repeat_constant": 100_000}
ENDPOINTS_PAUSE = "0.05"
MAX_TRIES = 400
PAUSE_SECONDS = 0.05


class Desk(RawEndpoint):
    """Runs each request but those that it turns away: /ROUTE/STATUS/PROVEN/NUMBER."""

    ran = {}
    lock = threading.Lock()

    def answer(self, connection, request):
        _, _, status, proven, _ = request.target.split("/")
        is_proven = proven == "proven"
        if not is_proven:
            with self.lock:
                self.ran[request.name] = self.ran.get(request.name, 0) + 1
        head = f"HTTP/1.1 {status} X\r\nX-Attempt-Id: {request.name}\r\nX-Response-Stamp: {self.name}\r\nRetry-After: {ENDPOINTS_PAUSE}\r\n"
        head += "X-Not-Executed: 1\r\n" if is_proven else ""
        connection.sendall(f"{head}Content-Length: 12\r\n\r\nout of order".encode())
        return True


def routes():
    whole = configuration(1, ["k1"])
    plain = {"host": "a.example", "timeout_ms": 3000, "target_latency_ms": 300, "service": whole["services"][0]["name"]}
    whole["routes"] = [{**plain, "name": f"{kind}-{attempts}", "prefix": f"/{kind}-{attempts}/", "kind": kind, "max_attempts": attempts,
                        **({"gap_target_ms": 200, "resumable": attempts == 2} if kind == "streaming" else {})}
                       for kind in ("safe", "unsafe", "streaming") for attempts in (1, 2)]
    return whole


def main():
    with Entries(bounds=BOUNDS) as fleet:
        fleet.store.put("op", "config", routes())
        for number in range(1, 4):
            fleet.register(Desk(f"e{number}"))
        ports = fleet.start("entry-1")
        wait_until("ready", lambda: call(ports["readiness"], "GET", "/v1/ready")[0] == 200)

        def ask(route, status, proven, number):
            name = f"{route}-{status}-{proven}-{number}"
            headers = {"Host": "a.example", "Authorization": "Token k1", "X-Attempt-Id": name, "X-Time-Budget-Ms": "3000"}
            got, fields, body = call(ports["callers"], "POST", f"/{route}/{status}/{proven}/{number}", b"{}", headers)
            return name, got, {field.lower(): value for field, value in fields.items()}, body

        numbers = itertools.count()

        def ask_until_run(route, status):
            """An endpoint that fails is avoided for a while, and the request is refused before it reaches one. Then it is asked again."""
            for _ in range(MAX_TRIES):
                seen = ask(route, status, "unproven", next(numbers))
                if seen[0] in Desk.ran:
                    return seen
                time.sleep(PAUSE_SECONDS)
            raise AssertionError((route, status, "no endpoint ran a request", seen))

        broken, asked = [], 0
        for route in [each["name"] for each in routes()["routes"]]:
            for status in UNPROVEN:
                for name, got, fields, body in [ask_until_run(route, status) for _ in range(3)]:
                    asked += 1
                    # Nothing of the endpoint's answer is left; only a request that may run again is told when to come back.
                    pause = fields.get("retry-after", "none")
                    is_its_own = "x-response-stamp" in fields or "out of order" in body or pause == ENDPOINTS_PAUSE
                    if got in PROMISES or is_its_own or (pause != "none" and route in ("unsafe-1", "unsafe-2", "streaming-1")):
                        broken.append((name, got, fields, body))
        assert not broken, f"{len(broken)} of {asked} requests that ran were told that they did not, or by a changed answer of the endpoint: {broken[:5]}"
        twice = [name for name, runs in Desk.ran.items() if runs > 1 and name.startswith("unsafe")]
        assert not twice, twice
        # The endpoint's own word is believed: the request has not run, and its caller is told so, with a time to come back.
        for route in ("unsafe-1", "safe-1"):
            for status in (429, 503):
                name, got, fields, _ = ask(route, status, "proven", next(numbers))
                assert got == 503 and "retry-after" in fields, (name, got, fields)
        endings = fleet.logged("entry-1", "attempt_ended")
        assert any(line["ending"] == "unproven_refusal" and line["defect"] == "unproven_refusal" for line in endings), endings[:3]
        counted = call(ports["operations"], "GET", "/v1/metrics")[2]
        assert 'appleramp_attempt_endings_total{ending="unproven_refusal"}' in counted, counted
    print(f"{asked} requests that ran, none of which was told that it did not; proven refusals are passed on as such")


if __name__ == "__main__":
    main()

"""Real entry, planned stops in calm. Guards against requests that come late in the grace period, or at the moment at which the listener
closes, and are passed on to an endpoint though they can't be answered, or are read and not answered."""
import pathlib
import signal
import sys
import time
from collections import Counter

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parents[2] / "scripts"))
sys.path.insert(0, str(pathlib.Path(__file__).resolve().parent))

from direct_entries import Entries  # noqa: E402
from fleet import wait_until  # noqa: E402
from stopping_callers import (GRACE_MS, connect, ended_in_time, exchange, exchange_anew, judge, outcome, read_to_end,  # noqa: E402
                              registered_endpoint, request, sleep_until, started_entry, stop, together)

LATE_PLAYS = 2
# When requests are sent after SIGTERM.
SENT_AFTER = (0.0, 1.0, 2.0, 2.4, 2.6, 3.5, 5.0, 6.5, 7.3)
WORK_SECONDS = (0.2, 3, 4.5)
# Around the moment at which the listener closes.
STORM_SECONDS = (2.35, 2.65)
STORM_CALLERS = 24
STORM_PAUSE_SECONDS = 0.015


def send_at(moment, connection, port, name, path):
    sleep_until(moment)
    return exchange(connection, name, path) if connection else exchange_anew(port, name, path)


def play_late_requests():
    with Entries(bounds={"grace_ms": GRACE_MS}) as fleet:
        endpoint, ports = started_entry(fleet)
        cases = {f"{kind}-{after}-{seconds}-{how}": (kind, after, seconds, how) for kind in ("post", "read", "stream")
                 for after in SENT_AFTER for seconds in WORK_SECONDS for how in ("kept", "new")}
        kept = {}
        for name, (*_, how) in cases.items():
            if how == "kept":
                kept[name] = connect(ports["callers"])
                assert exchange(kept[name], f"first-{name}", "/read/0/10") == "whole"
        stopped = stop(fleet)
        outcomes = together({name: (send_at, stopped + after, kept.get(name), ports["callers"], name, f"/{kind}/{seconds}/1000")
                             for name, (kind, after, seconds, _) in cases.items()})
        ended_in_time(fleet, stopped)
        judge(outcomes, endpoint.ran)
        assert all(outcomes[name] == "whole" for name, (_, after, *_) in cases.items() if after <= 2.0), outcomes
        return Counter(outcomes.values())


def storm(port, number, start, end, outcomes):
    sleep_until(start)
    for count in range(100000):
        if time.monotonic() >= end:
            return
        name = f"storm-{number}-{count}"
        # Some callers are connected for a while before they send.
        outcomes[name] = exchange_anew(port, name, "/post/0.01/10", pause=(count % 4) * STORM_PAUSE_SECONDS)


def play_storm(has_long_answer):
    """With a long answer in flight the process goes on after the listener is closed; without it, it ends."""
    with Entries(bounds={"grace_ms": GRACE_MS}) as fleet:
        endpoint, ports = started_entry(fleet)
        outcomes = {}
        stopped = stop(fleet)
        start, end = (stopped + seconds for seconds in STORM_SECONDS)
        tasks = {number: (storm, ports["callers"], number, start, end, outcomes) for number in range(STORM_CALLERS)}
        if has_long_answer:
            tasks["long"] = (exchange_anew, ports["callers"], "long", "/post/3.5/10")
        results = together(tasks)
        ended_in_time(fleet, stopped)
        judge(outcomes, endpoint.ran)
        assert not has_long_answer or results["long"] == "whole", results["long"]
        return Counter(outcomes.values())


def play_signals():
    """SIGHUP changes nothing, and a second SIGTERM neither shortens a stop nor prolongs it, also while the store is away."""
    with Entries(bounds={"grace_ms": GRACE_MS}) as fleet:
        endpoint, ports = started_entry(fleet)
        process = fleet.processes["entry-1"]
        tasks = {name: (exchange_anew, ports["callers"], name, f"/{name}/4/10") for name in ("post", "read", "stream")}
        tasks["signals"] = (send_signals, fleet, process, endpoint)
        outcomes = together(tasks)
        stopped = outcomes.pop("signals")
        ended_in_time(fleet, stopped)
        judge(outcomes, endpoint.ran)
        assert set(outcomes.values()) == {"whole"}, outcomes
        assert len(fleet.logged("entry-1", "stopping")) == 1


def send_signals(fleet, process, endpoint):
    wait_until("three requests at the endpoint", lambda: len(endpoint.ran) == 3)
    fleet.store.leave()
    process.send_signal(signal.SIGHUP)
    process.send_signal(signal.SIGTERM)
    stopped = time.monotonic()
    for signal_number in (signal.SIGHUP, signal.SIGTERM, signal.SIGHUP, signal.SIGTERM):
        time.sleep(0.5)
        process.send_signal(signal_number)
    return stopped


def play_stop_in_start(is_known_later):
    """SIGTERM while requests wait for the first configuration, which comes after the signal, or never."""
    with Entries(bounds={"grace_ms": GRACE_MS}) as fleet:
        endpoint = registered_endpoint(fleet)
        fleet.store.leave()
        ports = fleet.start("entry-1", "[entry]\nstart_wait_ms = 5000\n")
        connections = {name: connect(ports["callers"]) for name in ("post", "read", "stream")}
        for name, connection in connections.items():
            connection.sendall(request(name, f"/{name}/0.2/10"))
        # The entry has read the requests once it has answered one that was sent after them.
        assert exchange_anew(ports["callers"], "short", "/read/0/10", budget_ms=100) == "refused"
        stopped = stop(fleet)
        wait_until("the stop", lambda: fleet.logged("entry-1", "stopping"))
        if is_known_later:
            fleet.store.come_back()
        ended = together({name: (read_to_end, connection) for name, connection in connections.items()})
        ended_in_time(fleet, stopped)
        outcomes = {name: outcome(received, stopped, at) for name, (received, at) in ended.items()}
        judge(outcomes, endpoint.ran)
        assert set(outcomes.values()) <= ({"whole", "refused"} if is_known_later else {"refused"}), outcomes
        return Counter(outcomes.values())


def main():
    late = [play_late_requests() for _ in range(LATE_PLAYS)]
    storms = [play_storm(has_long_answer) for has_long_answer in (True, False, True, False)]
    play_signals()
    starts = [play_stop_in_start(is_known_later) for is_known_later in (True, False)]
    print(f"late requests: {late}; storms at the close of the listener: {storms}; signals in series: all answered; "
          f"stops in the start: {starts}")


if __name__ == "__main__":
    main()

"""Real processes of both fleets get SIGHUP with requests in flight. Guards against a process that ends, or ends its requests, at a signal
that asks for no stop."""
import pathlib
import signal
import subprocess
import sys
import time

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parents[2] / "scripts"))
sys.path.insert(0, str(pathlib.Path(__file__).resolve().parent))

from direct_entries import BIN, Entries  # noqa: E402
from fleet import Fleet, get_json, wait_until  # noqa: E402
from graceful_shutdown import Stream, endpoints, is_whole  # noqa: E402
from stopping_callers import exchange_anew, judge, started_entry, together  # noqa: E402

HANGUPS = 3
INTERVAL_SECONDS = 0.2


def hang_up(processes):
    for _ in range(HANGUPS):
        for process in processes:
            process.send_signal(signal.SIGHUP)
        time.sleep(INTERVAL_SECONDS)


def start_agent(fleet, endpoint):
    path = pathlib.Path(fleet.folder.name) / "agent-1.ini"
    path.write_text("[process]\nrole = direct_agent\ninstance = agent-1\navailability_zone = a\n[listen]\noperations = 127.0.0.1:0\n"
                    f"links = 127.0.0.1:0\n[store]\naddress = 127.0.0.1:{fleet.store.port}\n[endpoint]\naddress = {endpoint.address}\nservices = ledger\n")
    with open(path.with_suffix(".log"), "w") as log:
        fleet.processes["agent-1"] = subprocess.Popen([BIN / "applerampd", "--settings", str(path)], stdout=log)
    wait_until("the agent", lambda: '"started"' in path.with_suffix(".log").read_text())
    return fleet.processes["agent-1"]


def play_direct_fleet():
    with Entries() as fleet:
        endpoint, ports = started_entry(fleet)
        processes = (fleet.processes["entry-1"], start_agent(fleet, endpoint))
        tasks = {kind: (exchange_anew, ports["callers"], kind, f"/{kind}/2/10") for kind in ("post", "read", "stream")}
        tasks["signals"] = (hang_up_when_run, processes, endpoint)
        outcomes = together(tasks)
        del outcomes["signals"]
        judge(outcomes, endpoint.ran)
        assert set(outcomes.values()) == {"whole"}, outcomes
        assert [process.poll() for process in processes] == [None, None]
        assert exchange_anew(ports["callers"], "after", "/post/0/10") == "whole"


def hang_up_when_run(processes, endpoint):
    wait_until("three requests at the endpoint", lambda: len(endpoint.ran) == 3)
    hang_up(processes)


def play_gated_fleet():
    with Fleet() as fleet:
        engine = fleet.engine("engine", "model", "--model=assistant", "--ms_per_token=20")
        fleet.agent("agent-a", "zone-a", "model", "assistant", engine)
        entry = fleet.entry("entry-a", "zone-a")
        wait_until("slots", lambda: any(endpoint["slots"] for endpoint in endpoints(entry)))
        for name in ("agent-a", "entry-a"):
            stream = Stream(entry["callers"], f"stream-through-{name}")
            hang_up([fleet.processes[name]])
            assert fleet.processes[name].poll() is None, (name, "ended at SIGHUP")
            text = stream.rest()
            assert is_whole(text), (name, text[-300:])
            assert get_json(entry["operations"], "/v1/status")["endpoints"]


def main():
    play_direct_fleet()
    play_gated_fleet()
    print(f"{HANGUPS} times SIGHUP at each process of both fleets: all requests in flight were answered")


if __name__ == "__main__":
    main()

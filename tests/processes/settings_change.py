"""Real entry: its settings change to a fraction and to an error. SIGHUP says whether the next start would fail, the process serves on, and
it starts again with the fraction. A time bound that was a fraction used to end each start."""
import pathlib
import signal
import sys

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parents[2] / "scripts"))
sys.path.insert(0, str(pathlib.Path(__file__).resolve().parent))

from direct_entries import Entries, configuration  # noqa: E402
from fleet import call, wait_until  # noqa: E402
from platform_stand_in import Endpoint  # noqa: E402

NAME = "entry-1"


def is_ready(ports):
    return call(ports["readiness"], "GET", "/v1/ready")[0] == 200


def settings_errors(ports):
    text = call(ports["operations"], "GET", "/v1/metrics")[2]
    values = [line.split()[1] for line in text.splitlines() if line.startswith("appleramp_settings_errors ")]
    return int(float(values[0])) if values else None


def assert_served(ports, attempt):
    headers = {"Host": "a.example", "Authorization": "Token k1", "X-Attempt-Id": attempt, "X-Time-Budget-Ms": "3000"}
    status, _, text = call(ports["callers"], "GET", "/read/x", None, headers)
    assert status == 200, (attempt, status, text)


def reload(fleet, text):
    (pathlib.Path(fleet.folder.name) / f"{NAME}.ini").write_text(text)
    fleet.processes[NAME].send_signal(signal.SIGHUP)


def main():
    with Entries(bounds={"grace_ms": 8000}) as fleet:
        endpoint = Endpoint("e1")
        fleet.store.put("op", "config", configuration(1, ["k1"]))
        fleet.register(endpoint)
        ports = fleet.start(NAME)
        wait_until("ready", lambda: is_ready(ports))
        sound = (pathlib.Path(fleet.folder.name) / f"{NAME}.ini").read_text()

        reload(fleet, sound.replace("grace_ms = 8000", "grace_s = soon\nstall_ms = ten"))
        wait_until("two errors", lambda: settings_errors(ports) == 2)
        assert_served(ports, "with-errors")

        reload(fleet, sound.replace("grace_ms = 8000", "grace_s = 7.5\nstall_ms ="))
        wait_until("no error", lambda: settings_errors(ports) == 0)
        assert_served(ports, "with-a-fraction")
        assert fleet.processes[NAME].poll() is None

        fleet.stop(NAME)
        fleet.bounds = {"revocation_ms": 3000.5, "grace_s": 7.5, "stall_ms": ""}
        again = fleet.start(NAME)
        wait_until("ready again", lambda: is_ready(again))
        assert_served(again, "started-again")
    print("errors of the settings are counted at SIGHUP, and a process starts with fractions")


if __name__ == "__main__":
    main()

"""Real entries: the store comes back from an older copy. A withdrawn key stays withdrawn, at an entry that was running and at one
that starts meanwhile, and service goes on."""
import pathlib
import sys

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parents[2] / "scripts"))
sys.path.insert(0, str(pathlib.Path(__file__).resolve().parent))

from direct_entries import Entries, configuration  # noqa: E402
from fleet import call, wait_until  # noqa: E402
from platform_stand_in import Endpoint  # noqa: E402

PROBES = 30


def read(ports, key):
    headers = {"Host": "a.example", "Authorization": f"Token {key}", "X-Attempt-Id": "id", "X-Time-Budget-Ms": "2000"}
    return call(ports["callers"], "GET", "/read/x", None, headers)[0]


def is_ready(ports):
    return call(ports["readiness"], "GET", "/v1/ready")[0] == 200


def check(fast_return):
    with Entries(fast_return) as fleet:
        endpoint = Endpoint("e1")
        fleet.store.put("op", "config", configuration(1, ["old", "kept"]))
        fleet.register(endpoint)
        running = fleet.start("entry-1")
        wait_until("ready", lambda: is_ready(running))
        assert read(running, "old") == 200
        backup = fleet.store.backup()

        fleet.store.put("op", "config", configuration(2, ["kept"]))
        wait_until("the key is withdrawn", lambda: read(running, "old") == 401)

        fleet.store.leave()
        fleet.store.restore(backup)
        wait_until("the entry notices", lambda: fleet.logged("entry-1", "registry_restored"))
        wait_until("the entry writes its row again", lambda: ("appleramp-members", "entry-1") in fleet.store.rows)
        starting = fleet.start("entry-2")
        # Until the operator has written version 2 again, the store shows the key as valid.
        seen = {name: {read(ports, "old") for _ in range(PROBES)} for name, ports in (("running", running), ("starting", starting))}
        assert 200 not in seen["running"] | seen["starting"], seen

        fleet.store.put("op", "config", configuration(2, ["kept"]))
        for ports in (running, starting):
            wait_until("service after the restore", lambda: is_ready(ports) and read(ports, "kept") == 200)
            assert read(ports, "old") == 401
    print(f"fast_return = {fast_return}: a withdrawn key stayed withdrawn at both entries")


def main():
    check(fast_return=False)
    check(fast_return=True)


if __name__ == "__main__":
    main()

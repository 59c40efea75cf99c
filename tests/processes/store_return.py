"""Real entries of one zone: the store refuses all calls for a while, also the entry that read it dies meanwhile. The others notice the
return and serve again at once; a key that was withdrawn meanwhile is refused."""
import pathlib
import sys
import time

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parents[2] / "scripts"))
sys.path.insert(0, str(pathlib.Path(__file__).resolve().parent))

from direct_entries import Entries, configuration  # noqa: E402
from fleet import wait_until  # noqa: E402
from platform_stand_in import Endpoint  # noqa: E402
from store_restored import is_ready, read  # noqa: E402

# Seconds from the store's return by which all entries are to serve.
SERVICE_AFTER_RETURN = 0.5
# Seconds from the loss by which all entries are to report it.
LOSS_REPORTED = 1.0
NAMES = ["entry-1", "entry-2", "entry-3", "entry-4"]


def main():
    with Entries(fast_return=True) as fleet:
        endpoint = Endpoint("e1")
        fleet.store.put("op", "config", configuration(1, ["old", "kept"]))
        fleet.register(endpoint)
        ports = {name: fleet.start(name) for name in NAMES}
        wait_until("ready", lambda: all(is_ready(each) for each in ports.values()))
        # Entries read what they started with before one of them reads for the zone.
        calls = fleet.store.calls
        wait_until("the zone's reader reads", lambda: fleet.store.calls > calls + 8)

        lost_at = time.monotonic()
        fleet.store.leave()
        wait_until("the loss is reported", lambda: all(fleet.logged(name, "store_lost") for name in NAMES))
        noticed = time.monotonic() - lost_at
        assert noticed <= LOSS_REPORTED, noticed
        evidence = fleet.logged("entry-3", "store_lost")[0]
        assert evidence["seen_by"] in NAMES and evidence["symptom"] != "none", evidence

        fleet.processes["entry-1"].kill()
        alive = NAMES[1:]
        wait_until("no entry serves", lambda: not any(is_ready(ports[name]) for name in alive))
        calls = fleet.store.calls
        watched_from = time.monotonic()
        wait_until("another entry probes", lambda: fleet.store.calls > calls + 5)
        rate = (fleet.store.calls - calls) / (time.monotonic() - watched_from)
        fleet.store.put("op", "config", configuration(2, ["kept"]))
        back_at = time.monotonic()
        fleet.store.come_back()
        wait_until("service", lambda: all(is_ready(ports[name]) and read(ports[name], "kept") == 200 for name in alive))
        served = time.monotonic() - back_at
        assert served <= SERVICE_AFTER_RETURN, served
        assert [read(ports[name], "old") for name in alive] == [401] * len(alive)
        print(f"loss reported {noticed:.2f} s, {rate:.1f} calls/s during the outage, service {served:.2f} s after the return")


if __name__ == "__main__":
    main()

"""Real entry: odd rows that another writer left among those of the engines, and in the other tables that it follows,
do not end it, become no endpoint, and do not keep later rows from being read."""
import json
import pathlib
import sys

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parents[2] / "scripts"))
sys.path.insert(0, str(pathlib.Path(__file__).resolve().parent))

from direct_entries import SERVICE, Entries, configuration  # noqa: E402
from fleet import call, wait_until  # noqa: E402
from platform_stand_in import Endpoint  # noqa: E402

REQUESTS = 60
DEPTH = 200_000
NESTED = "[" * DEPTH + "]" * DEPTH


def engine_row(**changes):
    row = {"service": SERVICE, "address": "127.0.0.1:9", "zone": "a", "slots": 8, "state": "ready", "seq_no": 1, "cold_left_ms": 0}
    row.update(changes)
    return json.dumps(row)


def odd_engine_rows():
    yield "nested", NESTED
    yield "nested-member", engine_row(models="?").replace('"?"', NESTED)
    yield "unclosed", "[" * DEPTH
    yield "too-many-slots", engine_row(slots=1 << 32)
    yield "slots-without-end", engine_row(slots="?").replace('"?"', "1e400")
    yield "no-slots", engine_row(slots=0)
    yield "port-out-of-range", engine_row(address="127.0.0.1:99999")
    yield "no-port", engine_row(address="127.0.0.1:0")
    yield "no-address", engine_row(address="nowhere")
    yield "no-text", engine_row(address=None)
    yield "no-json", "\x00{"


def odd_member_rows():
    member = {"entry": True, "zone": "a", "news": "127.0.0.1:99999", "engine": "", "reader": "127.0.0.1:99999"}
    yield "odd-port", json.dumps(member)
    yield "odd-nested", json.dumps(member).replace('"a"', NESTED)
    yield "odd-type", json.dumps(dict(member, news=7))


def put_odd_rows(store, when):
    for name, text in odd_engine_rows():
        store.put("servers", f"{when}-{name}", text)
    for name, text in odd_member_rows():
        store.put("appleramp-members", f"{when}-{name}", text)
    store.put("appleramp-crashes", f"{when}-odd", NESTED)
    store.put("op", f"{when}-odd", NESTED)
    store.put_encoded("servers", f"{when}-not-encoded", "no base64!")


def read_all(ports, when):
    for number in range(REQUESTS):
        headers = {"Host": "a.example", "Authorization": "Token k1", "X-Attempt-Id": f"{when}-{number}", "X-Time-Budget-Ms": "3000"}
        status, _, text = call(ports["callers"], "GET", f"/read/{number}", None, headers)
        assert status == 200, (when, number, status, text)
        yield text


def main():
    with Entries() as fleet:
        sound, later = Endpoint("e1"), Endpoint("e2")
        fleet.store.put("op", "config", configuration(1, ["k1"]))
        put_odd_rows(fleet.store, "early")
        fleet.register(sound)
        ports = fleet.start("entry-1")
        wait_until("ready", lambda: call(ports["readiness"], "GET", "/v1/ready")[0] == 200)
        assert set(read_all(ports, "early")) == {"e1"}

        put_odd_rows(fleet.store, "late")
        fleet.register(later)
        wait_until("the endpoint behind the odd rows", lambda: "e2" in set(read_all(ports, "late")))
        assert fleet.processes["entry-1"].poll() is None
        named = {line["endpoint"] for line in fleet.logged("entry-1", "placed")}
        assert named == {"e1", "e2"}, named
    print(f"{len(list(odd_engine_rows())) + 1} kinds of odd rows among those of the engines, before and after the start: {REQUESTS} requests each time")


if __name__ == "__main__":
    main()

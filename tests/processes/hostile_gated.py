"""Real entry of the gated fleet: bodies of the largest size that stop a byte short of their end and stay open, and heads without end. Guards
against a process that holds every unfinished body until its memory is gone."""
import json
import pathlib
import sys

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parents[2] / "scripts"))
sys.path.insert(0, str(pathlib.Path(__file__).resolve().parent))

from fleet import Fleet, call, get_json, wait_until  # noqa: E402
from hostile_callers import MACHINE_MEMORY_BYTES, MAX_BODY_BYTES, MEBIBYTE, PIECE, Caller, has_setting, open_descriptors, peak_memory  # noqa: E402

UPLOADS = 48
HEADS = 48
BYTES = 4 * MEBIBYTE
UPLOAD = (f"POST /v1/services/orders/orders HTTP/1.1\r\nHost: x\r\nAppleramp-Team: kitchen\r\n"
          f"Idempotency-Key: {{name}}\r\nContent-Length: {MAX_BODY_BYTES}\r\n\r\n")
ENDLESS = {
    "a field without end": (b"GET /v1/status HTTP/1.1\r\nX: ", b"a" * PIECE),
    "fields without end": (b"GET /v1/status HTTP/1.1\r\n", b"X-Field: aaaaaaaaaaaaaaaaaaaa\r\n" * 2048),
    "a target without end": (b"GET /", b"a" * PIECE),
    "empty lines without end": (b"", b"\r\n" * (PIECE // 2)),
}


def check(process, entry, what):
    assert process.poll() is None, f"{what}: the process ended with {process.returncode}"
    peak = peak_memory(process)
    assert peak <= MACHINE_MEMORY_BYTES, f"{what}: {peak // MEBIBYTE} MB, of {MACHINE_MEMORY_BYTES // MEBIBYTE} MB"
    status, _, text = call(entry["callers"], "POST", "/v1/services/orders/orders", json.dumps({"order": 1}),
                           {"Appleramp-Team": "kitchen", "Idempotency-Key": f"ordinary-{what.replace(' ', '-')}"})
    assert status == 200, (what, status, text)
    print(f"{what}: at most {peak // MEBIBYTE} MB, {open_descriptors(process)} descriptors")


def main():
    with Fleet() as fleet:
        engine = fleet.engine("engine", "service")
        fleet.agent("agent", "zone-a", "service", "orders", engine)
        # The bound of the test is the machine's memory, where the program can be told of it.
        limits = f"\n[limits]\nmemory_mb = {MACHINE_MEMORY_BYTES // MEBIBYTE}" if has_setting("memory_mb") else ""
        entry = fleet.entry("entry", "zone-a" + limits)
        process = fleet.processes["entry"]
        wait_until("slots", lambda: any(endpoint["slots"] for endpoint in get_json(entry["operations"], "/v1/status")["endpoints"]))
        callers = []
        for what, (begin, piece) in ENDLESS.items():
            for port in ("callers", "operations"):
                for _ in range(HEADS):
                    caller = Caller(entry[port])
                    caller.send(begin)
                    caller.send_repeatedly(piece, BYTES)
                    callers.append(caller)
            check(process, entry, what)
        for number in range(UPLOADS):
            caller = Caller(entry["callers"])
            caller.send(UPLOAD.format(name=f"upload-{number}").encode() + b"b" * (MAX_BODY_BYTES - 1))
            callers.append(caller)
        check(process, entry, "bodies short of their end")
        for caller in callers:
            caller.close()


if __name__ == "__main__":
    main()

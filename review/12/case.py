"""The operator takes the last tenant out of the configuration: do requests with its key, or with a key that never existed, still run?"""
import os
import pathlib
import sys
import time

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parents[1] / "lib3"))

from fleet3 import BOUNDS, NOT_RUN, RULE_BROKEN, RULE_HELD, Engine, Fleet, Record, Store, ask, configuration, request_bytes, route  # noqa: E402

TROUBLE = os.environ.get("TROUBLE", "1") != "0"
OLD_KEY, UNKNOWN_KEY = "key-of-kitchen", "key-that-never-was"
AFTER_SECONDS = BOUNDS["revoke_ms"] / 1000 + 1
REQUESTS = 40


def configured(version, tenants):
    result = configuration(version, [route("read", "/read/", "safe", "desk", 1500), route("post", "/post/", "unsafe", "desk", 1500)], ["desk"])
    result["tenants"] = tenants
    return result


def send(record, engines, address, key, name):
    """Sends requests with that key, and returns how many of them ran."""
    sent = []
    for number in range(REQUESTS):
        attempt = f"{name}-{number}"
        sent.append(attempt)
        record.write(f"sent {attempt} with {key}")
        answer = ask(address, request_bytes("POST" if number % 2 else "GET", "/post/a" if number % 2 else "/read/a", attempt, b"o" * 600 if number % 2 else b"", key=key), 4)
        record.write(f"answered {attempt} {answer.status}")
    ran = {attempt for engine in engines for attempt in engine.ran}
    return sum(attempt in ran for attempt in sent)


def main():
    record = Record(pathlib.Path(__file__).resolve().parent)
    store = Store()
    engines = [Engine(record, f"desk-{number}", "desk", slots=6) for number in range(3)]
    for engine in engines:
        engine.register(store)
    kitchen = {"name": "kitchen", "api_keys": [OLD_KEY], "priority": 1}
    store.put("op", "config", configured(10, [kitchen]))
    with Fleet(record, store) as fleet:
        addresses = []
        for name in ("front-a-1", "front-a-2"):
            addresses.append((fleet.start_entry(name), 8227))
        if not all(fleet.wait_ready(name) for name in ("front-a-1", "front-a-2")):
            print("the entries did not become ready")
            return NOT_RUN
        time.sleep(1)
        before = send(record, engines, addresses[0], OLD_KEY, "held")
        unknown_before = send(record, engines, addresses[0], UNKNOWN_KEY, "unknown-before")
        store.put("op", "config", configured(23, [] if TROUBLE else [kitchen]))
        record.write(f"configuration 23 acknowledged, with {'no tenant' if TROUBLE else 'the tenant as before'}")
        time.sleep(AFTER_SECONDS)
        revoked = [send(record, engines, address, OLD_KEY, f"taken-{number}") for number, address in enumerate(addresses)]
        unknown = [send(record, engines, address, UNKNOWN_KEY, f"unknown-{number}") for number, address in enumerate(addresses)]
        lines = [f"before: {before} of {REQUESTS} with the key ran, {unknown_before} of {REQUESTS} with a key that no configuration ever held",
                 f"from {AFTER_SECONDS} s after the acknowledgement: {sum(revoked)} of {2 * REQUESTS} with the key of version 10 ran, "
                 f"{sum(unknown)} of {2 * REQUESTS} with a key that no configuration ever held"]
        broken = sum(unknown) > 0 or (TROUBLE and sum(revoked) > 0)
        lines.append("RULE BROKEN: requests ran with keys that no configuration holds" if broken else "the rule held")
        for line in lines:
            record.write(line)
            print(line)
    record.close()
    return RULE_BROKEN if broken else RULE_HELD


if __name__ == "__main__":
    sys.stdout.reconfigure(line_buffering=True)
    status = main()
    sys.stdout.flush()
    os._exit(status)

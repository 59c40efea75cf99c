"""Slopes of processor time, memory and bytes: of the decisions alone, of real links, and of real requests."""
import collections
import concurrent.futures
import json
import os
import re
import subprocess
import time

from fleet import BIN, Fleet, call, get_json, wait_until
from process_usage import cpu_seconds, idle_cpu_seconds, resident_mb, socket_bytes
from slopes import fit

ZONE = "zone-a"
MODEL = "assistant"
ORDERS = "orders"
CHAT_PATH = "/v1/chat/completions"
CAPACITY = 64
PROCESS_COUNTS = [1, 4, 16, 64, 256]
TOKEN_COUNTS = [1, 4, 16, 64, 256]
STARTERS = 8
SETTLE_SECONDS = 60
WINDOW_SECONDS = 6
CONNECTIONS = 8
TOKENS_PER_RUN = 40_000
MOST_REQUESTS_PER_RUN = 4_000
ORDERS_PER_RUN = 4_000


def words(name):
    """entryTickByRequestsInFlight -> entry_tick_by_requests_in_flight"""
    return re.sub(r"(?<!^)(?=[A-Z])", "_", name).lower()


def unit_of(entry):
    if "heap_bytes" in entry:
        return "bytes", entry["heap_bytes"]
    return "us", entry["cpu_time"] / 1000


def benchmarks(flag, environment):
    command = [BIN / "capacity_slopes", "--benchmark_format=json", "--benchmark_min_time=0.1", flag]
    output = subprocess.run(command, capture_output=True, text=True, check=True, env=os.environ | environment).stdout
    return json.loads(output)["benchmarks"]


def decision_slopes():
    """What Google Benchmark measures: reducers, codecs and their state, by size."""
    points, messages = collections.defaultdict(list), {}
    # The allocator's caches of freed blocks would count as memory in use.
    state = benchmarks("--benchmark_filter=State", {"GLIBC_TUNABLES": "glibc.malloc.tcache_count=0"})
    for entry in benchmarks("--benchmark_filter=-State", {}) + state:
        name, _, size = entry["name"].partition("/")
        if name == "measureMessage":
            messages[size] = {"wire_bytes": entry["wire_bytes"], "codec_us": round(entry["cpu_time"] / 1000, 3)}
            continue
        unit, value = unit_of(entry)
        points[words(name), unit].append((int(size.split("/")[0]), value))
        if "wire_bytes" in entry:
            points[words(name) + "_bytes", "bytes"].append((int(size), entry["wire_bytes"]))
    slopes = {}
    for (name, unit), measured in points.items():
        per = name.removesuffix("_bytes").partition("_by_")[2] or "keys"
        slopes[name] = fit(unit, per, [size for size, _ in measured], [value for _, value in measured])
    return slopes, messages


def usage(pids, seconds):
    """Processor time and bytes sent, each a second and a process, and resident memory a process."""
    cpu, sent = sum(map(idle_cpu_seconds, pids)), sum(socket_bytes(pids).values())
    started = time.monotonic()
    time.sleep(seconds)
    passed = (time.monotonic() - started) * len(pids)
    return {"cpu_us": (sum(map(idle_cpu_seconds, pids)) - cpu) / passed * 1e6,
            "bytes": (sum(socket_bytes(pids).values()) - sent) / passed,
            "rss_kb": sum(map(resident_mb, pids)) / len(pids) * 1024}


def linked(fleet, agents):
    return all(len(get_json(ports["operations"], "/v1/status")["endpoints"]) >= agents
               for ports in list(fleet.entries.values()))


def link_series(grown, start):
    """Idle usage of entries and agents while one of the roles grows in number."""
    with Fleet() as fleet, concurrent.futures.ThreadPoolExecutor(STARTERS) as starters:
        engine = fleet.engine("engine", "model", f"--model={MODEL}")
        fleet.agent("agent-0", ZONE, "model", MODEL, engine)
        fleet.entry("entry-0", ZONE)
        measured, running = [], 1
        for count in PROCESS_COUNTS:
            list(starters.map(lambda number: start(fleet, number, engine), range(running, count)))
            running = max(running, count)
            agents = count if grown == "agent" else 1
            wait_until(f"{count} {grown}s linked", lambda: linked(fleet, agents), SETTLE_SECONDS)
            pids = {role: [process.pid for name, process in fleet.processes.items() if name.startswith(role)]
                    for role in ("entry", "agent")}
            measured.append({role: usage(pids[role], WINDOW_SECONDS) for role in pids})
        return measured


def link_slopes():
    slopes = {}
    series = {
        "agent": link_series("agent", lambda fleet, number, engine:
                             fleet.agent(f"agent-{number}", ZONE, "model", MODEL, engine)),
        "entry": link_series("entry", lambda fleet, number, engine: fleet.entry(f"entry-{number}", ZONE)),
    }
    units = {"cpu_us": "us/s", "bytes": "bytes/s", "rss_kb": "kB"}
    for grown, other in (("agent", "entry"), ("entry", "agent")):
        for what, unit in units.items():
            slopes[f"process_{other}_idle_{what}_by_links"] = fit(
                unit, "links", PROCESS_COUNTS, [max(point[other][what], 1e-3) for point in series[grown]])
    return slopes


def load(url, requests, body, *options):
    command = [BIN / "request_load", f"--targets={url}", f"--requests={requests}", f"--connections={CONNECTIONS}",
               f"--body={body}", "--headers=Appleramp-Team=north-kitchens", *options]
    target = json.loads(subprocess.run(command, capture_output=True, text=True, check=True).stdout)["targets"][0]
    if target["failures"]:
        raise RuntimeError(f"{target['failures']} of {target['requests']} requests failed: {url}")
    return target["requests"]


def cpu_per_request(pids, run):
    before = {name: cpu_seconds(pid) for name, pid in pids.items()}
    requests = run()
    return {name: (cpu_seconds(pid) - before[name]) / requests * 1e6 for name, pid in pids.items()}


def put_service(operations, service, routes):
    change = {"type": "put_service", "value": {"service": service, "policy": {
        "repeatableRoutes": routes, "teamLimit": 0}}}
    status, _, text = call(operations, "POST", "/v1/operations/changes",
                           json.dumps({"change_id": "measure-" + service, "change": change}))
    assert status == 200, (status, text)


def request_slopes():
    """Processor time of real processes by tokens of the answer, and of an order with its key."""
    with Fleet() as fleet:
        engine = fleet.engine("engine", "model", f"--model={MODEL}", "--ms_per_token=0", "--first_token_ms=0")
        ledger = fleet.engine("ledger", "service")
        fleet.agent("agent", ZONE, "model", MODEL, engine, CAPACITY, CONNECTIONS)
        fleet.agent("ledger-agent", ZONE, "service", ORDERS, ledger, CAPACITY, CONNECTIONS)
        entry = fleet.entry("entry", ZONE)
        wait_until("slots", lambda: sum(endpoint["slots"] > 0 for endpoint in
                                        get_json(entry["operations"], "/v1/status")["endpoints"]) == 2)
        put_service(entry["operations"], MODEL, [CHAT_PATH])
        put_service(entry["operations"], ORDERS, [])
        pids = {name: fleet.processes[name].pid for name in ("entry", "agent", "ledger-agent", "platform")}
        chat = f"http://127.0.0.1:{entry['callers']}{CHAT_PATH}"
        orders = f"http://127.0.0.1:{entry['callers']}/v1/services/{ORDERS}/orders"

        def answer_of(tokens):
            requests = min(MOST_REQUESTS_PER_RUN, TOKENS_PER_RUN // tokens)
            return load(chat, requests, json.dumps({"model": MODEL, "stream": True, "max_tokens": tokens}))

        answer_of(TOKEN_COUNTS[0])
        by_tokens = [cpu_per_request(pids, lambda tokens=tokens: answer_of(tokens)) for tokens in TOKEN_COUNTS]
        ordered = cpu_per_request(pids, lambda: load(orders, ORDERS_PER_RUN, "{}", "--key_prefix=order-"))
        slopes = {f"process_{role}_cpu_by_tokens": fit("us/request", "tokens", TOKEN_COUNTS,
                                                       [point[role] for point in by_tokens])
                  for role in ("entry", "agent")}
        order = {"entry_cpu_us": ordered["entry"], "agent_cpu_us": ordered["ledger-agent"],
                 "platform_cpu_us": ordered["platform"]}
        return slopes, {name: round(value, 1) for name, value in order.items()}


def main():
    slopes, messages = decision_slopes()
    by_tokens, order = request_slopes()
    slopes.update(by_tokens)
    slopes.update(link_slopes())
    revision = subprocess.run(["git", "rev-parse", "--short", "HEAD"], capture_output=True, text=True, check=False)
    print(json.dumps({"revision": revision.stdout.strip(), "slopes": slopes, "messages": messages, "order": order,
                      "cores": os.cpu_count(), "load_average": os.getloadavg()[1]}))


if __name__ == "__main__":
    main()

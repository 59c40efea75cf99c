"""Latency that the hops caller-entry-agent-engine add over calling the engine directly, and what they cost."""
import json
import subprocess

from fleet import BIN, Fleet, call, get_json, wait_until
from process_usage import cpu_seconds, resident_mb

ZONE = "zone-a"
SERVICE = "assistant"
PATH = "/v1/chat/completions"
CAPACITY = 64
TOKENS = 8
LATENCY_REQUESTS = 3000
LOAD_REQUESTS = 20000
LOAD_CONNECTIONS = 16


def load(urls, requests, connections, body):
    command = [BIN / "request_load", "--targets=" + ",".join(urls), f"--requests={requests}",
               f"--connections={connections}", "--body=" + body, "--headers=Appleramp-Team=north-kitchens"]
    result = json.loads(subprocess.run(command, capture_output=True, text=True, check=True).stdout)
    for target in result["targets"]:
        if target["failures"]:
            raise RuntimeError(f"{target['failures']} of {target['requests']} requests failed: {target['url']}")
    return result


def make_repeatable(operations):
    change = {"type": "put_service", "value": {"service": SERVICE, "policy": {
        "repeatableRoutes": [PATH], "teamLimit": 0}}}
    status, _, text = call(operations, "POST", "/v1/operations/changes",
                           json.dumps({"change_id": "measure", "change": change}))
    assert status == 200, (status, text)


def warm_up(url, operations, body):
    """Until the agent takes the endpoint for warm: it then grants whatever is asked for."""
    def warm():
        load([url], 64, 4, body)
        return not get_json(operations, "/v1/status")["endpoints"][0]["cold"]
    wait_until("a warm endpoint", warm)


def main():
    body = json.dumps({"model": SERVICE, "stream": True, "max_tokens": TOKENS, "messages": []})
    with Fleet() as fleet:
        engine = fleet.engine("engine", "model", f"--model={SERVICE}", "--ms_per_token=0", "--first_token_ms=0",
                              f"--capacity={CAPACITY}")
        fleet.agent("agent", ZONE, "model", SERVICE, engine, CAPACITY, LOAD_CONNECTIONS)
        entry = fleet.entry("entry", ZONE)
        wait_until("slots", lambda: any(endpoint["slots"] for endpoint in
                                        get_json(entry["operations"], "/v1/status")["endpoints"]))
        pids = {name: fleet.processes[name].pid for name in ("agent", "entry")}
        idle = {name: resident_mb(pid) for name, pid in pids.items()}
        make_repeatable(entry["operations"])
        direct, through = f"http://127.0.0.1:{engine}{PATH}", f"http://127.0.0.1:{entry['callers']}{PATH}"
        warm_up(through, entry["operations"], body)

        latency = load([direct, through], LATENCY_REQUESTS, 1, body)["targets"]
        before = {name: cpu_seconds(pid) for name, pid in pids.items()}
        loaded = load([through], LOAD_REQUESTS, LOAD_CONNECTIONS, body)
        used = {name: cpu_seconds(pid) - before[name] for name, pid in pids.items()}
        print(json.dumps({
            "added_ms_p50": round(latency[1]["p50_ms"] - latency[0]["p50_ms"], 3),
            "added_ms_p99": round(latency[1]["p99_ms"] - latency[0]["p99_ms"], 3),
            "direct_ms_p50": round(latency[0]["p50_ms"], 3),
            "direct_ms_p99": round(latency[0]["p99_ms"], 3),
            "requests_per_core_second": round(LOAD_REQUESTS / sum(used.values()), 1),
            "entry_cpu_us_per_request": round(used["entry"] / LOAD_REQUESTS * 1e6, 1),
            "agent_cpu_us_per_request": round(used["agent"] / LOAD_REQUESTS * 1e6, 1),
            "requests_per_second": round(LOAD_REQUESTS / loaded["seconds"], 1),
            "tokens_per_request": TOKENS,
            "agent_rss_mb": round(idle["agent"], 2),
            "entry_rss_mb": round(idle["entry"], 2)}))


if __name__ == "__main__":
    main()

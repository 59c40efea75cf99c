"""Shows a request served through the whole system; prints what happened and fails if any of it is not as promised."""
import json
import threading
import uuid

from fleet import Fleet, call, get_json, wait_until
from span_collector import Collector

TRACE_ID = "0af7651916cd43dd8448eb211c80319c"
TRACE = f"00-{TRACE_ID}-b7ad6b7169203331-01"
HOPS = {"entry.request", "entry.queue", "entry.attempt", "agent.endpoint"}
NANOSECONDS_PER_MILLISECOND = 1e6
ZONES = ["taichung-a", "taichung-b"]


def change(port, kind, value):
    body = json.dumps({"change_id": str(uuid.uuid4()), "change": {"type": kind, "value": value}})
    status, _, text = call(port, "POST", "/v1/operations/changes", body)
    assert status == 200, (status, text)
    return json.loads(text)["version"]


def ask(port, text, trace=TRACE, tokens=8):
    body = json.dumps({"model": "assistant", "stream": True, "max_tokens": tokens,
                       "messages": [{"role": "user", "content": text}]})
    return call(port, "POST", "/v1/chat/completions", body,
                {"Appleramp-Team": "north-kitchens", "Content-Type": "application/json", "traceparent": trace})


def order(port, key, text="20 kg cabbage"):
    return call(port, "POST", "/v1/services/orders/orders", json.dumps({"order": text}),
                {"Appleramp-Team": "north-kitchens", "Content-Type": "application/json", "Idempotency-Key": key})


def placed_at(port, trace):
    decisions = get_json(port, "/v1/operations/explain?subject=" + trace)["decisions"]
    return [entry["reason"] for entry in decisions if entry["kind"] == "placed"]


def print_spans(collector):
    """The request's spans as they reached the collector, one a hop."""
    spans = wait_until("spans", lambda: (found := [span for span in collector.spans if span["traceId"] == TRACE_ID])
                       and HOPS <= {span["name"] for span in found} and found)
    for span in sorted(spans, key=lambda span: int(span["startTimeUnixNano"])):
        length = (int(span["endTimeUnixNano"]) - int(span["startTimeUnixNano"])) / NANOSECONDS_PER_MILLISECOND
        print(f"  span {span['name']}: {length:.1f} ms")


def start(fleet):
    for zone in ZONES:
        engine = fleet.engine(f"engine-{zone}", "model", "--model=assistant", "--ms_per_token=20")
        fleet.agent(f"agent-{zone}", zone, "model", "assistant", engine)
        fleet.entry(f"entry-{zone}", zone)
    ledger = fleet.engine("ledger", "service")
    fleet.agent("agent-ledger", ZONES[0], "service", "orders", ledger)
    for ports in fleet.entries.values():
        wait_until("links", lambda: sum(endpoint["slots"] for endpoint in
                                        get_json(ports["operations"], "/v1/status")["endpoints"]) >= 3)
    return ledger


def main():
    collector = Collector()
    with Fleet(collector.url) as fleet:
        ledger = start(fleet)
        first, second = fleet.entries.values()
        print("started:", ", ".join(fleet.processes))

        change(first["operations"], "put_service", {"service": "assistant", "policy": {
            "repeatableRoutes": ["/v1/chat/completions", "/v1/completions"], "teamLimit": 0}})
        version = change(first["operations"], "put_service", {"service": "orders", "policy": {
            "repeatableRoutes": ["/availability"], "teamLimit": 0}})
        for ports in fleet.entries.values():
            wait_until("configuration", lambda: get_json(ports["operations"], "/v1/status")["configuration_version"]
                       >= version)
        print("configuration version", version, "in force at both entries")

        addresses = wait_until("addresses", lambda: get_json(
            first["callers"], "/v1/addresses?team=north-kitchens")["addresses"])
        print("addresses:", addresses)
        assert len(addresses) == 2

        status, headers, text = ask(first["callers"], "Which greens are there on Friday?")
        assert status == 200 and headers["Appleramp-Execution"] == "completed", (status, text)
        assert text.rstrip().endswith("[DONE]"), text
        print("streamed answer:", text.count("data:"), "events; placed at", placed_at(first["operations"], TRACE))
        print_spans(collector)

        key = str(uuid.uuid4())
        status, _, text = order(first["callers"], key)
        assert status == 200, (status, text)
        print("order:", text.strip())
        again_status, _, again = order(second["callers"], key)
        print("same key at the other entry:", again_status, again.strip())
        executions = json.loads(call(ledger, "GET", "/orders/executions")[2])
        print("executions at the ledger:", executions)
        assert executions["counts"][key] == 1, executions
        assert again == text, (text, again)

        version = change(second["operations"], "take_zone_out", {"zone": ZONES[0]})
        for ports in fleet.entries.values():
            wait_until("zone out", lambda: get_json(ports["operations"], "/v1/status")["configuration_version"]
                       >= version)
        places = set()
        for number in range(6):
            trace = f"00-0af7651916cd43dd8448eb211c8031{number:02x}-b7ad6b7169203331-01"
            status, _, text = ask(first["callers"], "again", trace)
            assert status == 200, (status, text)
            places.update(placed_at(first["operations"], trace))
        print(ZONES[0], "is out; new work went to:", sorted({place.split(",")[0] for place in places}))
        assert all(ZONES[1] in place for place in places), places
        change(second["operations"], "take_zone_in", {"zone": ZONES[0]})

        answers = []
        stream = threading.Thread(target=lambda: answers.append(ask(second["callers"], "long", tokens=60)))
        stream.start()
        wait_until("stream", lambda: get_json(second["operations"], "/v1/status")["requests"] > 0)
        fleet.stop("entry-" + ZONES[1])
        stream.join()
        assert answers[0][2].rstrip().endswith("[DONE]"), answers
        print("entry stopped with a stream in flight; the stream was whole:", answers[0][2].count("data:"), "events")
        left = wait_until("address answers without the leaving entry", lambda: len(get_json(
            first["callers"], "/v1/addresses?team=north-kitchens")["addresses"]) == 1)
        print("addresses omit it:", left)
        print("demo complete")


if __name__ == "__main__":
    main()

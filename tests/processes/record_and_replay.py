"""Real processes: spans of a request reach a collector, and recorded events replay to the same spans."""
import json
import pathlib
import subprocess
import sys

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parents[2] / "scripts"))

from fleet import BIN, Fleet, call, get_json, wait_until  # noqa: E402
from span_collector import Collector  # noqa: E402

TRACE_ID = "0af7651916cd43dd8448eb211c80319c"
TRACEPARENT = f"00-{TRACE_ID}-b7ad6b7169203331-01"


def appleramp(*arguments):
    return subprocess.run([BIN / "appleramp", *arguments], capture_output=True, text=True, timeout=30)


def start(fleet, name, sections, collector):
    """Starts a process that records its events; returns its ports."""
    text = (f"[observe]\nspans_url = {collector.url}\n"
            f"[process]\ninstance = {name}\navailability_zone = zone-a\n{sections}")
    return fleet.start(name, [BIN / "applerampd", "--settings", fleet.settings(name, text),
                              "--record", trace_of(fleet, name)])


def trace_of(fleet, name):
    return str(pathlib.Path(fleet.folder.name) / f"{name}.trace")


def stop(fleet, name):
    fleet.stop(name)
    assert fleet.processes[name].wait(timeout=20) == 0, name


def check_command_line(operations):
    """The operators' command line against a real entry."""
    entry = f"--entry=127.0.0.1:{operations}"
    status = appleramp("status", "--json", entry)
    assert json.loads(status.stdout)["instance"] == "entry-a", status
    out = appleramp("zone", "out", "zone-z", entry)
    assert out.returncode == 0, out
    configuration = json.loads(appleramp("config", "get", "--json", entry).stdout)
    assert configuration["zonesOut"] == ["zone-z"], configuration
    explained = appleramp("explain", TRACE_ID, entry)
    assert explained.returncode == 0 and "placed" in explained.stdout, explained
    unknown = appleramp("explain", "nothing", entry)
    assert unknown.returncode == 1, unknown


def check_metrics(operations):
    text = call(operations, "GET", "/v1/metrics")[2]
    for line in ['appleramp_requests_total{outcome="answered"} 1',
                 'appleramp_span_seconds_count{operation="entry.request"} 1',
                 'appleramp_span_seconds{operation="entry.queue",quantile="0.99"} ']:
        assert line in text, text


def check_agent(operations):
    assert 'appleramp_span_seconds_count{operation="agent.endpoint"} 1' in call(operations, "GET", "/v1/metrics")[2]
    explained = appleramp("explain", TRACE_ID, f"--entry=127.0.0.1:{operations}")
    assert "started at the endpoint" in explained.stdout, explained
    status = appleramp("status", f"--entry=127.0.0.1:{operations}")
    assert status.returncode == 1 and "unknown_path" in status.stderr, status


def check_spans(spans):
    """One span a hop, each below the one before, in the caller's trace."""
    named = {span["name"]: span for span in spans}
    assert sorted(span["name"] for span in spans) == [
        "agent.endpoint", "entry.attempt", "entry.queue", "entry.request"], spans
    assert {span["traceId"] for span in spans} == {TRACE_ID}
    assert named["entry.request"]["parentSpanId"] == "b7ad6b7169203331"
    assert named["entry.queue"]["parentSpanId"] == named["entry.request"]["spanId"]
    assert named["entry.attempt"]["parentSpanId"] == named["entry.request"]["spanId"]
    assert named["agent.endpoint"]["parentSpanId"] == named["entry.attempt"]["spanId"]


def check_log(fleet, name, operation):
    """Every line is JSON with its writer; the request's line has request id, span and incarnation."""
    lines = (pathlib.Path(fleet.folder.name) / f"{name}.log").read_text().splitlines()
    entries = [json.loads(line) for line in lines]
    assert entries and all(entry["instance"] == name and entry["incarnation"] > 0 for entry in entries), lines
    ended = [entry for entry in entries if entry["message"].startswith(operation)]
    assert [entry["request"] for entry in ended] == [TRACE_ID] and ended[0]["span"], lines
    assert entries[-1]["message"] == "stopped", lines


def replayed_span_ids(trace):
    run = appleramp("replay", trace)
    assert run.returncode == 0, run.stderr
    assert run.stdout == appleramp("replay", trace).stdout, "same input, same bytes"
    effects = [json.loads(line)["effect"] for line in run.stdout.splitlines()]
    return [effect["value"]["traceparent"].split("-")[2] for effect in effects if effect["type"] == "finish_span"]


def main():
    collector = Collector()
    with Fleet() as fleet:
        engine = fleet.engine("engine", "model", "--model=assistant")
        agent = start(fleet, "agent-a", "role = agent\n[listen]\noperations = 127.0.0.1:0\nlinks = 127.0.0.1:0\n"
              f"[endpoint]\nid = engine-a\nkind = model\nurl = http://127.0.0.1:{engine}\nservices = assistant\n",
              collector)
        entry = start(fleet, "entry-a", "role = entry\n[listen]\ncallers = 127.0.0.1:0\noperations = 127.0.0.1:0\n"
                      "links = 127.0.0.1:0\n", collector)
        wait_until("slots", lambda: any(endpoint["slots"] for endpoint in
                                        get_json(entry["operations"], "/v1/status")["endpoints"]))
        body = json.dumps({"model": "assistant", "max_tokens": 3, "messages": [{"role": "user", "content": "hello"}]})
        status, _, text = call(entry["callers"], "POST", "/v1/chat/completions", body,
                               {"Appleramp-Team": "kitchen", "Idempotency-Key": "k-1", "traceparent": TRACEPARENT})
        assert status == 200, (status, text)
        check_command_line(entry["operations"])
        check_metrics(entry["operations"])
        check_agent(agent["operations"])
        stop(fleet, "entry-a")
        stop(fleet, "agent-a")
        check_spans(collector.spans)
        check_log(fleet, "entry-a", "entry.request")
        check_log(fleet, "agent-a", "agent.endpoint")
        replayed = replayed_span_ids(trace_of(fleet, "entry-a")) + replayed_span_ids(trace_of(fleet, "agent-a"))
        assert sorted(replayed) == sorted(span["spanId"] for span in collector.spans), (replayed, collector.spans)
    print("spans of", len(collector.spans), "hops exported; both traces replay to the same spans")


if __name__ == "__main__":
    main()

"""Real processes: SIGTERM on an entry or an agent cuts off no stream in flight, and nothing new goes there."""
import http.client
import json
import pathlib
import sys

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parents[2] / "scripts"))

from fleet import Fleet, call, get_json, wait_until  # noqa: E402

TOKENS = 60
EXIT_SECONDS = 30


class Stream:
    """A streamed answer that is read piece by piece."""

    def __init__(self, port, key):
        self.connection = http.client.HTTPConnection("127.0.0.1", port, timeout=EXIT_SECONDS)
        body = json.dumps({"model": "assistant", "stream": True, "max_tokens": TOKENS,
                           "messages": [{"role": "user", "content": "hello"}]})
        self.connection.request("POST", "/v1/chat/completions", body,
                                {"Appleramp-Team": "kitchen", "Idempotency-Key": key})
        self.response = self.connection.getresponse()
        assert self.response.status == 200, self.response.status
        self.first = self.response.read(20)
        assert self.first

    def rest(self):
        text = (self.first + self.response.read()).decode()
        self.connection.close()
        return text


def is_whole(text):
    return text.rstrip().endswith("data: [DONE]") and text.count("data: ") == TOKENS + 1 and "event: error" not in text


def endpoints(entry):
    return get_json(entry["operations"], "/v1/status")["endpoints"]


def stop_with_stream(fleet, entry, name):
    stream = Stream(entry["callers"], f"stream-through-{name}")
    fleet.stop(name)
    text = stream.rest()
    assert is_whole(text), (name, text[-300:])
    assert fleet.processes[name].wait(timeout=EXIT_SECONDS) == 0, name


def main():
    with Fleet() as fleet:
        engine = fleet.engine("engine", "model", "--model=assistant", "--ms_per_token=20")
        fleet.agent("agent-a", "zone-a", "model", "assistant", engine)
        entry = fleet.entry("entry-a", "zone-a")
        wait_until("slots", lambda: any(endpoint["slots"] for endpoint in endpoints(entry)))
        stop_with_stream(fleet, entry, "agent-a")
        wait_until("the agent's endpoint is gone", lambda: not endpoints(entry))
        status, _, text = call(entry["callers"], "POST", "/v1/chat/completions", json.dumps({"model": "assistant"}),
                               {"Appleramp-Team": "kitchen", "Idempotency-Key": "late", "Appleramp-Timeout-Ms": "300"})
        assert status in {404, 503}, (status, text)
        fleet.agent("agent-b", "zone-a", "model", "assistant", engine)
        wait_until("slots", lambda: any(endpoint["slots"] for endpoint in endpoints(entry)))
        stop_with_stream(fleet, entry, "entry-a")
    print("two streams of", TOKENS, "tokens were whole; agent and entry exited 0")


if __name__ == "__main__":
    main()

"""Real processes: an engine that crashes in the middle of an answer leaves an explicit error, never a whole answer."""
import http.client
import json
import pathlib
import sys

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parents[2] / "scripts"))

from fleet import BIN, Fleet, call, get_json, wait_until  # noqa: E402

TOKENS = 200
ROUNDS = 5


def stream_that_is_cut(fleet, entry, engine, number):
    """Reads until the engine has crashed in the middle; what came must not end as a whole answer does."""
    connection = http.client.HTTPConnection("127.0.0.1", entry["callers"], timeout=30)
    body = json.dumps({"model": "assistant", "stream": True, "max_tokens": TOKENS,
                       "messages": [{"role": "user", "content": f"question {number}"}]})
    connection.request("POST", "/v1/chat/completions", body,
                       {"Appleramp-Team": "kitchen", "Idempotency-Key": f"cut-{number}"})
    response = connection.getresponse()
    assert response.status == 200, response.read()
    text = response.read(20)
    call(engine["control_port"], "POST", "/faults", json.dumps({"crash": True}))
    try:
        text += response.read()
        complete = True
    except http.client.IncompleteRead as cut:
        text += cut.partial
        complete = False
    connection.close()
    assert b"[DONE]" not in text, text[-200:]
    assert not complete or b"event: error" in text, text[-200:]
    assert b'"execution":"unknown"' in text, text[-300:]


def main():
    with Fleet() as fleet:
        engine = fleet.start("engine", [BIN / "stand_in_engine", "--kind=model", "--model=assistant",
                                        "--ms_per_token=20", "--on_crash=refuse"])
        fleet.agent("agent", "zone-a", "model", "assistant", engine["port"])
        entry = fleet.entry("entry", "zone-a")
        for number in range(ROUNDS):
            wait_until("slots", lambda: any(endpoint["slots"] for endpoint in
                                            get_json(entry["operations"], "/v1/status")["endpoints"]))
            stream_that_is_cut(fleet, entry, engine, number)
            call(engine["control_port"], "POST", "/faults", json.dumps({"restart": True}))
        print(f"{ROUNDS} answers cut off, each with an explicit error")


if __name__ == "__main__":
    main()

"""A machine that got SIGTERM takes streams for 3.6 s and cuts at 7.44 s those that would end inside the grace period."""
import asyncio
import os
import pathlib
import signal
import sys

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parents[1] / "lib"))

import fleet  # noqa: E402

BUDGET_MS = 8000
EVENTS = 43
# Below the longest pause of the sheet (120 ms).
EVENT_SECONDS = 0.1
GRACE_SECONDS = 8.0
# When requests are sent after the signal; the excuse of the last sixth ends at 3 s.
SENT_AFTER = (3.2, 3.25, 3.3, 3.35, 3.4, 3.45, 3.5)


class ModelEngine(fleet.Engine):
    async def work(self, reader, writer, method, target, headers):
        await fleet.read_body(reader, headers)
        first = int(headers.get("last-event-id", "0")) + 1
        self.ran.append((fleet.now(), headers["x-attempt-id"], first))
        lines = ["HTTP/1.1 200 OK", "Content-Type: text/event-stream", "Transfer-Encoding: chunked"]
        lines += [f"{name}: {value}" for name, value in self.stamps(headers).items()]
        writer.write("\r\n".join(lines + ["", ""]).encode())
        for number in range(first, EVENTS + 1):
            await asyncio.sleep(EVENT_SECONDS)
            event = f"id: {number}\ndata: token\n\n".encode()
            writer.write(f"{len(event):x}\r\n".encode() + event + b"\r\n")
            await writer.drain()
        writer.write(b"0\r\n\r\n")
        await writer.drain()
        return True


async def stream(deployment, connection, attempt):
    """Sends one request; returns how it ended."""
    reader, writer = connection
    extra = ["X-Model: m", "X-Token-Counts: 714,200", f"X-Prompt-Prefix: 5c1e07a2:40,{attempt}:674"]
    deployment.note(f"sent {attempt}")
    events = 0
    try:
        writer.write(fleet.request_bytes("POST", "/draft/2f", attempt, BUDGET_MS, b"draft " + attempt.encode(), extra))
        head = await fleet.read_head(reader)
        if head is None:
            return "closed before an answer"
        status = head[0].split()[1]
        if status != "200":
            await fleet.read_body(reader, head[1])
            return status
        while True:
            size = int(await reader.readuntil(b"\r\n"), 16)
            events += (await reader.readexactly(size + 2)).count(b"data:")
            if size == 0:
                return f"complete, {events} events"
    except (asyncio.IncompleteReadError, ConnectionError):
        return f"cut after {events} of {EVENTS} events"


async def send_at(deployment, connection, at, attempt):
    await asyncio.sleep(max(0, at - fleet.now()))
    outcome = await stream(deployment, connection, attempt)
    deployment.note(f"{attempt}: {outcome}")
    return outcome


async def main():
    trouble = os.environ.get("TROUBLE", "1") != "0"
    async with fleet.Fleet(pathlib.Path(__file__).with_name("record.txt")) as deployment:
        engines = [await deployment.add_engine(ModelEngine(f"i-{number}", "pool")) for number in (1, 2)]
        service = {**fleet.MODEL_SERVICE, "engine": fleet.ENGINE}
        deployment.store.put("op", "config", fleet.configuration([fleet.stream_route()], [service]))
        for number, engine in enumerate(engines, 1):
            deployment.start_agent(f"side-{number}", engine)
        entry = deployment.start_entry("front-1")
        await deployment.wait_ready(entry)
        await asyncio.sleep(3)
        connections = [await fleet.connect(entry["callers"]) for _ in SENT_AFTER]
        begun = fleet.now()
        if trouble:
            deployment.signal("front-1", signal.SIGTERM)
        tasks = [asyncio.ensure_future(send_at(deployment, connection, begun + after, f"{number:08x}"))
                 for number, (connection, after) in enumerate(zip(connections, SENT_AFTER))]
        outcomes = await asyncio.gather(*tasks)
        for engine in engines:
            for at, attempt, first in engine.ran:
                deployment.lines.append(f"{at - deployment.started:8.3f} {engine.name} ran {attempt} from event {first}")
        ended = fleet.now() - begun
        passed_on = {attempt for engine in engines for _, attempt, _ in engine.ran}
        cut = [outcome for number, outcome in enumerate(outcomes)
               if f"{number:08x}" in passed_on and outcome.startswith(("cut", "closed"))]
        result = f"{len(passed_on)} of {len(outcomes)} passed on, {len(cut)} cut, the last after {ended:.2f} s"
        deployment.note(result)
        print(result)
        return 1 if cut else 0


if __name__ == "__main__":
    sys.exit(fleet.run(main))

"""Streams at a rank that turns slow are moved to another one, but wait for room there and are forgotten: no answer ever comes."""
import asyncio
import os
import pathlib
import sys

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parents[1] / "lib"))

import fleet  # noqa: E402

TIMEOUT_MS = 3000
TARGET_MS = 1000
BUDGET_MS = 8000
# Clients abandon a stream after a gap of four times the objective.
PATIENCE_SECONDS = 4 * TARGET_MS / 1000
EVENTS = 24
EVENT_SECONDS = 0.04
# Near what the entry may send to engines that may turn cold: 23 a second to each by the sheet's figures.
PER_SECOND = 63
# One of them turns slow: a third, where the site has two fifths at most.
ENGINES = 3
SECONDS = 15
# The engine turns slow for a moment, twice.
SLOW_AT = (4.0, 10.0)
SLOW_SECONDS = 0.25
SLOW_FACTOR = 5.0
LATE_SECONDS = 0.5
LEAST_LATE = 8


class ModelEngine(fleet.Engine):
    async def work(self, reader, writer, method, target, headers):
        await fleet.read_body(reader, headers)
        first = int(headers.get("last-event-id", "0")) + 1
        self.ran.append((fleet.now(), headers["x-attempt-id"], first))
        lines = ["HTTP/1.1 200 OK", "Content-Type: text/event-stream", "Transfer-Encoding: chunked"]
        lines += [f"{name}: {value}" for name, value in self.stamps(headers).items()]
        writer.write("\r\n".join(lines + ["", ""]).encode())
        for number in range(first, EVENTS + 1):
            await asyncio.sleep(EVENT_SECONDS * self.pace)
            event = f"id: {number}\ndata: token\n\n".encode()
            writer.write(f"{len(event):x}\r\n".encode() + event + b"\r\n")
            await writer.drain()
        writer.write(b"0\r\n\r\n")
        await writer.drain()
        return True


class Caller:
    """One streaming request on a connection of its own; leaves only when the pages say that clients do."""

    def __init__(self, attempt):
        self.attempt = attempt
        self.ended_after = None
        self.outcome = "none"
        self.events = 0

    async def run(self, entry):
        self.sent = fleet.now()
        try:
            reader, writer = await fleet.connect(entry["callers"])
        except OSError:
            self.end("not connected")
            return
        extra = ["X-Model: m", "X-Token-Counts: 714,24", "X-Prompt-Prefix: 5c1e07a2:40," + self.attempt + ":674"]
        writer.write(fleet.request_bytes("POST", "/draft/2f", self.attempt, BUDGET_MS, b"draft " + self.attempt.encode(), extra))
        try:
            await self.read(reader)
        except asyncio.TimeoutError:
            self.outcome = f"client left after a gap of {PATIENCE_SECONDS:.0f} s"
        except (asyncio.IncompleteReadError, ConnectionError):
            self.end("broken off")
        finally:
            writer.close()

    async def read(self, reader):
        head = await asyncio.wait_for(fleet.read_head(reader), PATIENCE_SECONDS)
        if head is None:
            self.end("closed")
            return
        status = head[0].split()[1]
        if status != "200":
            await asyncio.wait_for(fleet.read_body(reader, head[1]), PATIENCE_SECONDS)
            self.end(status)
            return
        while True:
            size = int(await asyncio.wait_for(reader.readuntil(b"\r\n"), PATIENCE_SECONDS), 16)
            chunk = await asyncio.wait_for(reader.readexactly(size + 2), PATIENCE_SECONDS)
            self.events += chunk.count(b"data:")
            if size == 0:
                self.end("complete")
                return

    def end(self, outcome):
        self.outcome = outcome
        self.ended_after = fleet.now() - self.sent


async def main():
    trouble = os.environ.get("TROUBLE", "1") != "0"
    async with fleet.Fleet(pathlib.Path(__file__).with_name("record.txt")) as deployment:
        engines = [await deployment.add_engine(ModelEngine(f"i-{number}", "pool")) for number in range(1, ENGINES + 1)]
        service = {**fleet.MODEL_SERVICE, "engine": fleet.ENGINE}
        route = fleet.stream_route(timeout_ms=TIMEOUT_MS, target_latency_ms=TARGET_MS)
        deployment.store.put("op", "config", fleet.configuration([route], [service]))
        for number, engine in enumerate(engines, 1):
            deployment.start_agent(f"side-{number}", engine)
        entry = deployment.start_entry("front-1")
        await deployment.wait_ready(entry)
        await asyncio.sleep(3)
        deployment.note("traffic begins")
        begun = fleet.now()
        callers, tasks = [], []
        for number in range(PER_SECOND * SECONDS):
            at = begun + number / PER_SECOND
            await asyncio.sleep(max(0, at - fleet.now()))
            slow = trouble and any(start <= fleet.now() - begun < start + SLOW_SECONDS for start in SLOW_AT)
            if slow != (engines[0].pace > 1):
                engines[0].pace = SLOW_FACTOR if slow else 1.0
                deployment.note(f"engine i-1 {'turns slow' if slow else 'is as fast as before'}: pace {engines[0].pace}")
            callers.append(Caller(f"{number:08x}"))
            tasks.append(asyncio.ensure_future(callers[-1].run(entry)))
        await asyncio.gather(*tasks)
        return judge(deployment, engines, callers)


def judge(deployment, engines, callers):
    limit = TIMEOUT_MS / 1000
    for engine in engines:
        for at, attempt, first in engine.ran:
            deployment.lines.append(f"{at - deployment.started:8.3f} {engine.name} ran {attempt} from event {first}")
    for caller in callers:
        after = "never" if caller.ended_after is None else f"after {caller.ended_after:.3f} s"
        deployment.lines.append(f"{caller.sent - deployment.started:8.3f} sent {caller.attempt}: {caller.outcome}, {caller.events} events, ended {after}")
    lasting = [caller for caller in callers if caller.ended_after is None or caller.ended_after > limit]
    late = [caller for caller in lasting if caller.ended_after is None or caller.ended_after > limit + LATE_SECONDS]
    never = [caller for caller in late if caller.ended_after is None]
    complete = sum(caller.outcome == "complete" for caller in callers)
    outcome = (f"{len(callers)} sent, {complete} complete, {len(lasting)} unanswered at timeout_ms, {len(late)} of these without an "
               f"answer {LATE_SECONDS} s later, {len(never)} never answered")
    deployment.note(outcome)
    print(outcome)
    moved = deployment.log_of("front-1").count('"left_slow_endpoint"')
    deployment.note(f"streams that the entry moved from the slow engine: {moved}")
    return 1 if len(late) >= LEAST_LATE and len(late) * 2 > len(lasting) else 0


if __name__ == "__main__":
    sys.exit(fleet.run(main))

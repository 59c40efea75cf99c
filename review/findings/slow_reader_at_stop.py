"""A machine that got SIGTERM ends while clients still read their answers, and takes along what it had not yet handed to the kernel."""
import asyncio
import os
import pathlib
import signal
import sys

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parents[1] / "lib"))

import fleet  # noqa: E402

BUDGET_MS = 8000
TIMEOUT_MS = 8000
ANSWER_BYTES = 7 * 1000 * 1000
CALLERS = 4
RECEIVE_BUFFER = 16 * 1024
PIECE = 64 * 1024
# The client reads nothing until then, and the whole answer well before its deadline.
PAUSE_SECONDS = 4.5
READ_SECONDS = 6.5
SIGNAL_AFTER = 0.3


class PlainService(fleet.Engine):
    async def work(self, reader, writer, method, target, headers):
        await fleet.read_body(reader, headers)
        self.ran.append((fleet.now(), headers["x-attempt-id"]))
        body = (headers["x-attempt-id"].encode() * (ANSWER_BYTES // 8 + 1))[:ANSWER_BYTES]
        writer.write(fleet.response_bytes(200, self.stamps(headers), body))
        await writer.drain()
        return True


async def read_slowly(deployment, entry, attempt):
    """Reads a report slowly; returns how the answer ended and how much of it came."""
    reader, writer = await fleet.connect(entry["callers"], RECEIVE_BUFFER)
    begun = fleet.now()
    writer.write(fleet.request_bytes("GET", "/safe/report", attempt, BUDGET_MS))
    deployment.note(f"sent {attempt}")
    got = 0
    try:
        head = await fleet.read_head(reader)
        if head is None:
            return attempt, "closed before an answer", 0
        status, length = head[0].split()[1], int(head[1]["content-length"])
        deployment.note(f"{attempt}: head with status {status}, {length} bytes")
        await asyncio.sleep(PAUSE_SECONDS)
        while got < length:
            due = begun + PAUSE_SECONDS + (READ_SECONDS - PAUSE_SECONDS) * got / length
            await asyncio.sleep(max(0, due - fleet.now()))
            piece = await reader.read(min(PIECE, length - got))
            if not piece:
                return attempt, "cut", got
            got += len(piece)
        return attempt, f"complete {status}", got
    except (asyncio.IncompleteReadError, ConnectionError) as problem:
        return attempt, f"cut ({type(problem).__name__})", got
    finally:
        deployment.note(f"{attempt}: {got} bytes after {fleet.now() - begun:.2f} s")
        writer.close()


async def main():
    trouble = os.environ.get("TROUBLE", "1") != "0"
    async with fleet.Fleet(pathlib.Path(__file__).with_name("record.txt")) as deployment:
        engine = await deployment.add_engine(PlainService("i-1", "desk", slots=6))
        route = fleet.plain_route("safe", timeout_ms=TIMEOUT_MS)
        deployment.store.put("op", "config", fleet.configuration([route], [fleet.PLAIN_SERVICE]))
        entry = deployment.start_entry("front-1")
        await deployment.wait_ready(entry)
        await asyncio.sleep(3)
        tasks = [asyncio.ensure_future(read_slowly(deployment, entry, f"{number:08x}")) for number in range(CALLERS)]
        await asyncio.sleep(SIGNAL_AFTER)
        if trouble:
            deployment.signal("front-1", signal.SIGTERM)
        signalled = fleet.now()
        while trouble and deployment.processes["front-1"].poll() is None and fleet.now() < signalled + 9:
            await asyncio.sleep(0.02)
        if trouble:
            deployment.note(f"front-1 ended {fleet.now() - signalled:.2f} s after the signal")
        results = await asyncio.gather(*tasks)
        for at, attempt in engine.ran:
            deployment.lines.append(f"{at - deployment.started:8.3f} i-1 ran {attempt}")
        for attempt, outcome, got in results:
            deployment.note(f"{attempt}: {outcome}, {got} of {ANSWER_BYTES} bytes")
        cut = [attempt for attempt, outcome, _ in results if outcome.startswith("cut") and any(attempt == ran for _, ran in engine.ran)]
        result = f"{len(engine.ran)} run, {len(cut)} answers cut"
        deployment.note(result)
        print(result)
        return 1 if cut else 0


if __name__ == "__main__":
    sys.exit(fleet.run(main))

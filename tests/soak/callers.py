"""Callers: they ask the directory, keep connections, send requests of every kind and note what they are told."""
import asyncio
import json
import time
from dataclasses import dataclass, field

import http_messages
from engines import STREAM_EVENTS
from http_messages import Broken

PROMISES = {408, 421, 429, 503}
WAIT_SECONDS = 4.0
# Longest pause of a caller between two requests: together they stay below the rate that endpoints bear when cold, which
# holds at all times, so that a refusal after the faults is a finding.
PAUSE_SECONDS = 0.6


@dataclass
class Outcome:
    attempt: str
    kind: str
    key: str
    member: object
    sent_at: float
    status: int = 0
    # The answer ended as a complete one does.
    complete: bool = False
    body: bytes = b""
    problem: str = ""
    served: bool = field(default=False)


class Callers:
    def __init__(self, members, random, keys):
        self.members, self.random, self.keys = members, random, keys
        self.outcomes = []
        self.number = 0
        self.stopping = False

    async def addresses(self):
        for member in self.random.sample(self.members, len(self.members)):
            try:
                host, port = member.directory.split(":")
                reader, writer = await asyncio.wait_for(asyncio.open_connection(host, int(port)), 1)
                writer.write(http_messages.request("GET", "/v1/resolve?name=soak.example&region=r&zone=" + member.zone, {"Host": "d"}))
                first, headers = await asyncio.wait_for(http_messages.read_head(reader), 1)
                body = await asyncio.wait_for(http_messages.read_body(reader, headers), 1)
                writer.close()
                if first.split()[1] == "200":
                    return json.loads(body)["addresses"]
            except (OSError, Broken, asyncio.TimeoutError, ValueError):
                continue
        return []

    async def work(self):
        while not self.stopping:
            addresses = await self.addresses()
            known_until = time.monotonic() + 2
            if not addresses:
                await asyncio.sleep(0.2)
            while addresses and time.monotonic() < known_until and not self.stopping:
                await self.use_connection(self.random.choice(addresses))

    async def use_connection(self, address):
        member = next((member for member in self.members if member.callers == address), None)
        if member is None:
            # Its process had to take another port.
            return
        host, port = address.split(":")
        try:
            reader, writer = await asyncio.wait_for(asyncio.open_connection(host, int(port)), 1)
        except (OSError, asyncio.TimeoutError):
            await asyncio.sleep(0.1)
            return
        try:
            # The connection is used until the process that has it is gone.
            for _ in range(self.random.randint(1, 8)):
                if not await self.send(member, reader, writer):
                    return
                await asyncio.sleep(self.random.uniform(0, PAUSE_SECONDS))
        finally:
            writer.close()

    async def send(self, member, reader, writer):
        """Sends one request; returns whether the connection may be used again."""
        self.number += 1
        kind = self.random.choice(["post", "read", "draft"])
        outcome = Outcome(f"a{self.number}", kind, self.random.choice(self.keys), member, time.monotonic())
        self.outcomes.append(outcome)
        headers = {"Host": "soak.example", "X-Attempt-Id": outcome.attempt, "X-Time-Budget-Ms": str(int(WAIT_SECONDS * 1000)),
                   "Authorization": f"Token {outcome.key}"}
        try:
            writer.write(http_messages.request("POST", f"/{kind}/x", headers, outcome.attempt.encode()))
            return await asyncio.wait_for(self.receive(outcome, reader), WAIT_SECONDS + 1)
        except (Broken, OSError) as problem:
            outcome.problem = f"broken off: {problem}"
        except asyncio.TimeoutError:
            outcome.problem = "no whole answer in time"
        return False

    @staticmethod
    async def receive(outcome, reader):
        first, headers = await http_messages.read_head(reader)
        outcome.status = int(first.split()[1])
        if headers.get("transfer-encoding") == "chunked":
            while part := await http_messages.read_chunk(reader):
                outcome.body += part
        else:
            outcome.body = await http_messages.read_body(reader, headers)
        outcome.complete = True
        outcome.served = outcome.status == 200
        return headers.get("connection", "").lower() != "close"


def expected_body(outcome):
    if outcome.kind == "draft":
        return b"".join(f"id: {n}\ndata: {outcome.attempt} {n}\n\n".encode() for n in range(1, STREAM_EVENTS + 1))
    return f"whole answer of {outcome.attempt}".encode()

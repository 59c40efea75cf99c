"""A stand-in of the platform's store: rows with versions, a feed of changes, conditional writes, and faults."""
import asyncio
import base64
import json
import random
import time
from urllib.parse import parse_qs, urlsplit

import http_messages


class Store:
    def __init__(self, seed):
        self.random = random.Random(seed)
        self.rows = {}
        self.history = []
        self.oldest = 0
        self.version = 0
        self.changed = asyncio.Event()
        # Faults: "down" refuses, "silent" does not answer, "slow" answers late, "lossy" carries out and does not answer.
        self.mode = ""

    async def start(self):
        self.server, self.address = await http_messages.serve(self.handle)

    def put(self, table, key, value):
        """Writes a row, or drops it where there is no value. Returns the moment of the acknowledgement."""
        self.version += 1
        row = {"table": table, "part": "", "key": key, "ver": self.version}
        if value is None:
            self.rows.pop((table, key), None)
            row["deleted"] = True
        else:
            row["value"] = base64.b64encode(value.encode()).decode()
            self.rows[(table, key)] = row
        self.history.append(row)
        self.changed.set()
        self.changed = asyncio.Event()
        return time.monotonic()

    def forget_history(self):
        self.oldest = self.version
        self.history.clear()

    async def handle(self, method, target, headers, body, writer):
        mode = self.mode
        if mode == "down":
            writer.write(http_messages.response(503))
            return
        if mode == "slow":
            await asyncio.sleep(0.4)
        url = urlsplit(target)
        query = {name: values[0] for name, values in parse_qs(url.query, keep_blank_values=True).items()}
        status, answer = await self.answer(url.path, query, body)
        if mode == "silent" or (mode == "lossy" and self.random.random() < 0.35):
            await asyncio.sleep(3600)
        answer = {"ver": self.version, "now_ms": int(time.monotonic() * 1000), **answer}
        writer.write(http_messages.response(status, {"Content-Type": "application/json"}, json.dumps(answer).encode()))

    async def answer(self, path, query, body):
        if path == "/v1/rows-get":
            rows = [row for (table, _), row in sorted(self.rows.items()) if table == query["table"]]
            return 200, {"rows": rows, "has_more": False}
        if path == "/v1/rows-feed":
            return await self.feed(query["table"], int(query["after_rev"]), int(query["wait_ms"]) / 1000)
        if path == "/v1/rows-tx":
            return self.transact(json.loads(body))
        return 404, {}

    async def feed(self, table, after, wait):
        end = time.monotonic() + wait
        while True:
            if after < self.oldest:
                return 410, {}
            rows = {row["key"]: row for row in self.history if row["table"] == table and row["ver"] > after}
            left = end - time.monotonic()
            if rows or left <= 0:
                return 200, {"rows": sorted(rows.values(), key=lambda row: row["ver"])}
            try:
                await asyncio.wait_for(self.changed.wait(), left)
            except asyncio.TimeoutError:
                pass

    def transact(self, call):
        for condition in call.get("precondition", []):
            row = self.rows.get((condition["table"], condition["key"]))
            if (row["ver"] if row else 0) != condition["ver"]:
                return 412, {"rows": [row] if row else []}
        for row in call.get("writes", []):
            self.put(row["table"], row["key"], base64.b64decode(row["value"]).decode())
        for row in call.get("remove", []):
            self.put(row["table"], row["key"], None)
        return 200, {}

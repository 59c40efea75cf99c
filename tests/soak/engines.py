"""Stand-ins of endpoints: plain services, and model engines that are the ranks of one group."""
import asyncio
import json
import random
import time
from urllib.parse import urlsplit

import http_messages

STREAM_EVENTS = 12
PASS_SECONDS = 0.04
SETS, EXPERTS, PLACES = 2, 8, 5
COLD_SECONDS, COLD_PER_SECOND = 2.0, 20


class Run:
    """One run of a request at an endpoint."""

    def __init__(self, at, endpoint, headers):
        self.at, self.endpoint, self.zone = at, endpoint.id, endpoint.zone
        self.team = headers.get("x-tenant")
        self.key_shown = "authorization" in headers


class Endpoint:
    def __init__(self, name, service, zone, runs):
        self.name, self.service, self.zone, self.runs = name, service, zone, runs
        self.life = 0
        self.arrivals = []
        self.renew()

    def renew(self):
        """A new start: another id, and cold."""
        self.life += 1
        self.id = f"{self.name}-{self.life}"
        self.started = time.monotonic()
        self.state = "ready"

    def row(self, address):
        left = max(0, COLD_SECONDS - (time.monotonic() - self.started)) if self.life > 1 else 0
        return json.dumps({"service": self.service, "address": address, "zone": self.zone, "version": 1, "slots": 6,
                           "state": self.state, "cold_left_ms": int(left * 1000), "seq_no": 1})

    async def start(self):
        self.server, self.address = await http_messages.serve(self.handle)

    async def handle(self, method, target, headers, body, writer):
        attempt = headers.get("x-attempt-id")
        echo = {"X-Attempt-Id": attempt}
        if headers.get("x-expect-instance") != self.id:
            writer.write(http_messages.response(421, {**echo, "X-Not-Executed": "1"}))
            return
        self.arrivals.append((time.monotonic(), attempt))
        self.runs.setdefault(attempt, []).append(Run(time.monotonic(), self, headers))
        echo["X-Response-Stamp"] = f"{attempt}.{self.id}"
        if target.startswith("/draft/"):
            await self.stream(attempt, int(headers.get("last-event-id", "0")), echo, writer)
        else:
            await asyncio.sleep(0.02)
            writer.write(http_messages.response(200, echo, f"whole answer of {attempt}".encode()))

    async def stream(self, attempt, after, echo, writer):
        lines = ["HTTP/1.1 200 x", "Content-Type: text/event-stream", "Transfer-Encoding: chunked"]
        writer.write(("\r\n".join(lines + [f"{k}: {v}" for k, v in echo.items()]) + "\r\n\r\n").encode())
        for number in range(after + 1, STREAM_EVENTS + 1):
            await asyncio.sleep(PASS_SECONDS)
            event = f"id: {number}\ndata: {attempt} {number}\n\n".encode()
            writer.write(f"{len(event):x}\r\n".encode() + event + b"\r\n")
            await writer.drain()
        writer.write(b"0\r\n\r\n")


class Rank(Endpoint):
    """A model engine; the group below carries its orders out."""

    def __init__(self, name, zone, runs, group, rank):
        self.group, self.rank = group, rank
        super().__init__(name, "pool", zone, runs)

    async def handle(self, method, target, headers, body, writer):
        path = urlsplit(target).path
        if path == "/v1/report":
            writer.write(self.json(200, self.group.report(self.rank)))
        elif path == "/v1/picked":
            lists = "lists" in target
            writer.write(self.json(200, self.group.lists(self.rank) if lists else self.group.counts(self.rank)))
        elif path == "/v1/order":
            order = json.loads(body)
            if self.group.random.random() < self.group.late_share:
                asyncio.get_running_loop().call_later(self.group.random.uniform(0.5, 6), self.group.apply, self.rank, order)
                await asyncio.sleep(3600)
            writer.write(self.json(self.group.apply(self.rank, order), {}))
        else:
            await super().handle(method, target, headers, body, writer)

    @staticmethod
    def json(status, value):
        return http_messages.response(status, {"Content-Type": "application/json"}, json.dumps(value).encode())


class Group:
    """Ranks that begin passes together, each with the map it was told to use."""

    def __init__(self, ranks, seed):
        self.random = random.Random(seed)
        self.size, self.step, self.epoch = ranks, 0, 0
        self.late_share = 0.0
        self.mixed_passes, self.changes = 0, 0
        self.longest_held, self.last_pass = 0.0, time.monotonic()
        self.form()

    def form(self):
        self.epoch += 1
        first = [[[e for e in range(EXPERTS) if e % self.size == r] for r in range(self.size)] for _ in range(SETS)]
        self.ranks = [{"map": (0, first), "prepared": None, "armed": None, "held": None, "highest": 0,
                       "counts": [0] * (SETS * EXPERTS)} for _ in range(self.size)]

    async def run(self):
        while True:
            await asyncio.sleep(PASS_SECONDS)
            self.begin_pass()

    def begin_pass(self):
        now = time.monotonic()
        if any(rank["held"] is not None and rank["held"] <= self.step + 1 for rank in self.ranks):
            self.longest_held = max(self.longest_held, now - self.last_pass)
            return
        self.step += 1
        self.last_pass = now
        favourite = int(now / 3) % EXPERTS
        for rank in self.ranks:
            if rank["armed"] and rank["armed"][1] <= self.step:
                rank["map"], rank["prepared"], rank["armed"] = rank["prepared"], None, None
                self.changes += 1
            for cell in range(SETS * EXPERTS):
                rank["counts"][cell] += 4000 if cell % EXPERTS == favourite else 400
        if any(rank["map"] != self.ranks[0]["map"] for rank in self.ranks):
            self.mixed_passes += 1

    def report(self, index):
        rank = self.ranks[index]
        report = {"stage": "both", "models": [], "busy": False, "seq_no": 0, "num_waiting": 0, "num_running": 1, "pace": 1.0,
                  "group": {"name": "g", "epoch": self.epoch, "rank": index, "state": "open"}, "size": self.size,
                  "step": self.step, "map": rank["map"][0]}
        if rank["prepared"]:
            report["prepared"] = rank["prepared"][0]
        if rank["armed"]:
            report["armed"] = {"version": rank["armed"][0], "step": rank["armed"][1]}
        if rank["held"] is not None:
            report["held"] = rank["held"]
        return report

    def lists(self, index):
        rank = self.ranks[index]

        def held(entry):
            return {"version": entry[0], "experts": [entry[1][s][index] for s in range(SETS)]}

        lists = {"epoch": self.epoch, "map": held(rank["map"])}
        if rank["prepared"]:
            lists["prepared"] = held(rank["prepared"])
        return lists

    def counts(self, index):
        return {"step": self.step, "epoch": self.epoch, "counts": self.ranks[index]["counts"]}

    def apply(self, index, order):
        rank = self.ranks[index]
        if order.get("epoch", self.epoch) != self.epoch:
            return 409
        return getattr(self, "on_" + order["op"])(rank, order)

    def on_prepare(self, rank, order):
        if order["version"] <= rank["highest"] or rank["armed"]:
            return 409
        rank["highest"] = order["version"]
        rank["prepared"] = (order["version"], order["map"])
        return 202

    def on_hold(self, rank, order):
        if order["step"] <= self.step or (rank["held"] is not None and rank["held"] != order["step"]):
            return 409
        rank["held"] = order["step"]
        return 200

    def on_arm(self, rank, order):
        if not rank["prepared"] or rank["prepared"][0] != order["version"] or order["step"] <= self.step:
            return 409
        rank["armed"] = (order["version"], order["step"])
        return 200

    def on_disarm(self, rank, order):
        if rank["map"][0] == order["version"]:
            return 409
        if rank["armed"] and rank["armed"][0] == order["version"]:
            rank["armed"] = None
        return 200

    def on_go(self, rank, order):
        if rank["held"] == order["step"]:
            rank["held"] = None
        return 200

"""Randomized soak: the real programs as processes, faults from outside, promises checked while it runs.

    soak.py --seed 7 [--count 1] [--seconds 12]     exits 1 if a promise was broken; logs of such a seed are kept
"""
import argparse
import asyncio
import json
import pathlib
import random
import sys
import tempfile
import time

import promises
from callers import Callers
from engines import Endpoint, Group, Rank
from fleet import PROGRAM, Member
from loopback_proxy import LoopbackProxy
from store import Store

ZONES = ["za", "zb", "zc"]
RANKS, SERVICES, WORKERS = 4, 2, 10
KEYS = ["red-1", "red-2", "blue-1", "blue-2", "green-1"]
# Requests sent from then on, after the last fault, are served mostly.
RECOVERY_SECONDS = 12.0
SERVED_AGAIN = 0.9


class Soak:
    def __init__(self, seed, folder):
        self.random = random.Random(seed)
        self.seed, self.folder = seed, folder
        self.store = Store(seed)
        self.runs, self.revoked, self.leaving, self.starts = {}, {}, {}, {}
        self.zones_out, self.version = [], 10
        self.store_disturbed = []
        self.proxies = []
        self.entries, self.agents, self.supervisors = [], [], []
        self.broken = []
        self.faults = []

    async def proxy(self, target):
        proxy = LoopbackProxy()
        await proxy.start(target)
        self.proxies.append(proxy)
        return proxy

    async def start(self):
        await self.store.start()
        self.group = Group(RANKS, self.seed)
        self.group_task = asyncio.create_task(self.group.run())
        ranks = [Rank(f"rank{n}", ZONES[n % 3], self.runs, self.group, n) for n in range(RANKS)]
        services = [Endpoint(f"desk{n}", "desk", ZONES[n % 3], self.runs) for n in range(SERVICES)]
        self.endpoints = ranks + services
        for endpoint in self.endpoints:
            await endpoint.start()
            endpoint.proxy = await self.proxy(endpoint.address)
            self.register(endpoint)
        self.configure()
        for number, zone in enumerate(ZONES):
            address = (await self.proxy(self.store.address)).address
            self.entries.append(Member(f"entry{number}", zone, address, self.folder))
        for rank in ranks:
            address = (await self.proxy(self.store.address)).address
            self.agents.append(Member(f"agent{rank.rank}", rank.zone, address, self.folder, rank.address))
        for member in self.entries + self.agents:
            member.start()
        self.supervise()
        self.callers = Callers(self.entries, self.random, KEYS)

    def supervise(self):
        self.supervisors = [asyncio.create_task(member.supervise(self.broken.append)) for member in self.entries + self.agents]

    def register(self, endpoint):
        endpoint.registered = endpoint.id
        self.store.put("servers", endpoint.id, endpoint.row(endpoint.proxy.address))

    def configure(self):
        self.version += self.random.randint(1, 9)
        kinds = {"post": ("unsafe", "desk", 1), "read": ("safe", "desk", 2), "draft": ("streaming", "pool", 2)}
        routes = [{"name": name, "host": "soak.example", "prefix": f"/{name}/", "service": service, "kind": kind, "timeout_ms": 4000,
                   "max_attempts": attempts, "target_latency_ms": 500, "gap_target_ms": 200, "resumable": kind == "streaming"}
                  for name, (kind, service, attempts) in kinds.items()]
        services = [{"name": "desk", "cold_start_s": 2, "cold_per_s": 20},
                    {"name": "pool", "cold_start_s": 2, "cold_per_s": 20,
                     "engine": {"sets": 2, "experts": 8, "placements": 5, "spare": 2, "expert_mb": 100, "link_mbps": 100000}}]
        teams = {}
        for key in KEYS:
            keys = teams.setdefault(key.split("-")[0], [])
            if key not in self.revoked:
                keys.append(key)
        tenants = [{"name": f"team-{name}", "api_keys": keys} for name, keys in teams.items()]
        return self.store.put("op", "config", json.dumps(
            {"version": self.version, "routes": routes, "services": services, "tenants": tenants, "limits": {"idle_timeout_ms": 5000}}))

    # --- Faults; each returns when its disturbance is over.

    async def kill_member(self):
        await self.random.choice(self.entries + self.agents).kill(self.random.uniform(0.1, 1.0))

    async def roll_entry(self):
        await self.random.choice(self.entries).stop_and_start()

    async def freeze_member(self):
        await self.random.choice(self.entries + self.agents).freeze(self.random.uniform(0.3, 4.0))

    async def kill_all(self):
        await asyncio.gather(*(member.kill(0.5) for member in self.entries + self.agents))

    async def disturb_store(self):
        began = time.monotonic()
        self.store.mode = self.random.choice(["down", "silent", "slow", "lossy"])
        await asyncio.sleep(self.random.uniform(0.5, 6.0))
        self.store.mode = ""
        self.store_disturbed.append((began, time.monotonic()))

    async def forget_history(self):
        self.store.forget_history()

    async def disturb_link(self):
        began = time.monotonic()
        proxy = self.random.choice(self.proxies)
        fault = self.random.choice(["silent", "to", "from", "refuse", "delay", "reset"])
        if fault == "delay":
            proxy.delay = self.random.uniform(0.02, 0.3)
        elif fault != "reset":
            proxy.mode = fault
        await asyncio.sleep(self.random.uniform(0.3, 4.0) if fault != "reset" else 0)
        proxy.mode, proxy.delay = "", 0
        proxy.reset_all()
        for member in self.entries + self.agents:
            member.note_disturbance(began, time.monotonic())

    async def late_orders(self):
        self.group.late_share = 0.3
        await asyncio.sleep(self.random.uniform(1, 4))
        self.group.late_share = 0.0

    async def form_group_anew(self):
        self.group.form()

    async def revoke_key(self):
        left = [key for key in KEYS if key not in self.revoked]
        if len(left) > 2:
            key = self.random.choice(left)
            self.revoked[key] = float("inf")
            self.revoked[key] = self.configure()

    async def change_configuration(self):
        for _ in range(self.random.randint(1, 5)):
            self.configure()

    async def take_zone_out(self):
        zone = self.random.choice(ZONES)
        if any(out == zone and end == float("inf") for out, _, end in self.zones_out):
            return
        began = self.store.put("op", f"evacuate/{zone}", "{}")
        self.zones_out.append((zone, began, float("inf")))
        await asyncio.sleep(self.random.uniform(3, 8))
        self.zones_out.remove((zone, began, float("inf")))
        self.zones_out.append((zone, began, time.monotonic()))
        self.store.put("op", f"evacuate/{zone}", None)

    async def replace_endpoint(self):
        endpoint = self.random.choice(self.endpoints[RANKS:])
        if endpoint.state != "ready":
            return
        endpoint.state = "draining"
        self.leaving[endpoint.id] = self.store.put("servers", endpoint.id, endpoint.row(endpoint.proxy.address))
        await asyncio.sleep(promises.DRAIN_SECONDS + 1)
        self.store.put("servers", endpoint.id, None)
        endpoint.proxy.reset_all()
        endpoint.renew()
        self.starts[endpoint.id] = endpoint.started
        self.register(endpoint)

    # --- The run.

    async def run_to_end(self, seconds):
        try:
            await self.run(seconds)
        finally:
            await self.end()

    async def run(self, seconds):
        await self.start()
        workers = [asyncio.create_task(self.callers.work()) for _ in range(WORKERS)]
        await self.until_served(15)
        faults = [self.kill_member, self.roll_entry, self.freeze_member, self.disturb_store, self.forget_history, self.disturb_link,
                  self.late_orders, self.form_group_anew, self.revoke_key, self.change_configuration, self.take_zone_out,
                  self.replace_endpoint]
        if self.random.random() < 0.3:
            faults.append(self.kill_all)
        end = time.monotonic() + seconds
        tasks = []
        while time.monotonic() < end:
            fault = self.random.choice(faults)
            self.faults.append((round(time.monotonic() - end + seconds, 2), fault.__name__))
            tasks.append(asyncio.create_task(fault()))
            await asyncio.sleep(self.random.uniform(0.1, 1.2))
        await asyncio.gather(*tasks)
        await self.check_recovery()
        await self.check_planned_stops()
        self.callers.stopping = True
        await asyncio.gather(*workers)
        self.check()

    async def until_served(self, seconds):
        end = time.monotonic() + seconds
        while time.monotonic() < end and not any(outcome.served for outcome in self.callers.outcomes):
            await asyncio.sleep(0.1)
        if not any(outcome.served for outcome in self.callers.outcomes):
            self.broken.append("RECOVER nothing was served after the start")

    async def check_recovery(self):
        await asyncio.sleep(RECOVERY_SECONDS)
        begin = time.monotonic()
        await asyncio.sleep(2)
        recent = [o for o in self.callers.outcomes if begin < o.sent_at < begin + 1 and o.key not in self.revoked]
        served = sum(o.served for o in recent)
        if not recent or served < SERVED_AGAIN * len(recent):
            self.broken.append(f"RECOVER {served} of {len(recent)} requests were served after the faults")

    async def check_planned_stops(self):
        """Nothing is disturbed: a stopped entry cuts off no request that it has read."""
        begin = time.monotonic()
        for entry in self.entries:
            code = await entry.stop_and_start()
            if code != 0:
                self.broken.append(f"LOST {entry.name} ended with {code} at SIGTERM")
            await asyncio.sleep(1.5)
        for outcome in self.callers.outcomes:
            cut = outcome.sent_at > begin and outcome.problem and self.runs.get(outcome.attempt)
            if cut:
                self.broken.append(f"LOST {outcome.attempt} through {outcome.member.name}: {outcome.problem}")

    def store_steady(self, at):
        return all(not begin <= at <= end + 3 for begin, end in self.store_disturbed)

    def check(self):
        outcomes, runs = self.callers.outcomes, self.runs
        self.broken += promises.answers(outcomes, runs)
        self.broken += promises.revoked_keys(outcomes, runs, self.revoked)
        self.broken += promises.left_alone(outcomes, runs, self.store_steady, self.zones_out, self.leaving)
        self.broken += promises.cold_rates(self.starts, runs)
        if self.group.mixed_passes:
            self.broken.append(f"MAP {self.group.mixed_passes} passes with two maps")

    async def end(self):
        # Supervisors end first, since one that still ran would take an ended process for a crashed one and start it again.
        for supervisor in self.supervisors:
            supervisor.cancel()
        ends = await asyncio.gather(*self.supervisors, return_exceptions=True)
        self.broken += [f"FAULT supervisor: {end!r}" for end in ends if isinstance(end, Exception)]
        for member in self.entries + self.agents:
            member.end()


def play(seed, seconds):
    folder = pathlib.Path(tempfile.mkdtemp(prefix=f"appleramp-soak-{seed}-"))
    soak = Soak(seed, folder)

    asyncio.run(soak.run_to_end(seconds))
    outcomes = soak.callers.outcomes
    served = sum(outcome.served for outcome in outcomes)
    print(f"seed {seed}: {len(outcomes)} requests, {served} served, {soak.group.changes} map changes, "
          f"longest standstill {soak.group.longest_held:.1f} s, {len(soak.faults)} faults, {len(soak.broken)} broken", flush=True)
    for line in soak.broken[:10]:
        print(f"  {line}")
    if soak.broken:
        (folder / "faults.json").write_text(json.dumps(soak.faults))
        print(f"  logs: {folder}")
    else:
        for path in folder.iterdir():
            path.unlink()
        folder.rmdir()
    return not soak.broken


def main():
    parser = argparse.ArgumentParser(description=__doc__, formatter_class=argparse.RawDescriptionHelpFormatter)
    parser.add_argument("--seed", type=int, required=True)
    parser.add_argument("--count", type=int, default=1)
    parser.add_argument("--seconds", type=float, default=12)
    options = parser.parse_args()
    if not PROGRAM.exists():
        sys.exit(f"{PROGRAM} is missing: run scripts/build first")
    results = [play(options.seed + n, options.seconds) for n in range(options.count)]
    print(f"{results.count(True)} passed, {results.count(False)} failed")
    sys.exit(0 if all(results) else 1)


if __name__ == "__main__":
    main()

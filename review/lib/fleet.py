"""Stand-ins for the users' platform (store and engines) on loopback, and the processes of a small deployment.

Everything of a script but the project's own processes runs in one asyncio loop. The processes are started with the command of
deploy/system.toml, and their settings are the templates of deploy/ filled in with the figures of the site.
"""
import asyncio
import base64
import json
import os
import pathlib
import random
import re
import shutil
import signal
import socket
import subprocess
import tempfile
import time

ROOT = pathlib.Path(__file__).resolve().parents[2]
PROGRAM = ROOT / "target" / "bin" / "applerampd"
BEAT_SECONDS = 1.2
READ_LIMIT = 16 * 1024 * 1024

# The figures of the sites that the templates use.
SITES = {
    "fshga-ramp": {
        "bounds.revoke_ms": "5000", "bounds.drain_ms": "2000", "bounds.grace_s": "8", "bounds.stall_ms": "1500",
        "bounds.retry_window_s": "10", "bounds.pass_ms": "120", "bounds.retry_budget_ratio": "0.2", "bounds.retry_budget_slack": "92",
        "bounds.cold_overshoot": "1.5", "bounds.cold_slack": "5", "limits.link_mbps": "20.0", "zone": "taichung",
    },
    "lsl-appleramp-grown": {
        "bounds.revoke_ms": "5000", "bounds.drain_ms": "3000", "bounds.grace_s": "8", "bounds.stall_ms": "1500",
        "bounds.retry_window_s": "10", "bounds.pass_ms": "200", "bounds.retry_budget_ratio": "0.2", "bounds.retry_budget_slack": "208",
        "bounds.cold_overshoot": "1.5", "bounds.cold_slack": "5", "limits.link_mbps": "8.0", "zone": "tx-central-a",
    },
}
LIMITS = {"max_header_bytes": 16384, "max_body_bytes": 4194304, "header_timeout_ms": 3000, "idle_timeout_ms": 15000}
KEY = "n2ctnfzs989anu6wsjnb"
HOST = "ficu95.example"
ENGINE = {"slots": 12, "kv_capacity_tokens": 280000, "step_ms": 4.55, "per_seq_ms": 0.905, "read_per_s": 61400.0, "chunk": 512,
          "stride": 4, "usual": {"prompt": 835, "answer": 97}}
MODEL_SERVICE = {"name": "pool", "health_path": "/health", "max_conns": 288, "protocol": "h1", "tls": False, "cold_start_s": 3.0,
                 "cold_per_s": 28.0}
PLAIN_SERVICE = {"name": "desk", "health_path": "/health", "max_conns": 110, "protocol": "h1", "tls": False, "cold_start_s": 0.0,
                 "cold_per_s": 0.0}


class CannotRun(Exception):
    """The case could not be set up; says nothing about the rule."""


def now():
    return time.monotonic()


def free_port(ip):
    with socket.socket() as probe:
        probe.bind((ip, 0))
        return probe.getsockname()[1]


def stream_route(**changes):
    route = {"name": "r-draft", "host": HOST, "prefix": "/draft/", "kind": "streaming", "timeout_ms": 8000, "target_latency_ms": 500,
             "priority": 1, "service": "pool", "max_attempts": 2, "public": False, "sticky": True, "resumable": True,
             "gap_target_ms": 120}
    route.update(changes)
    return route


def plain_route(kind, **changes):
    route = {"name": f"r-{kind}", "host": HOST, "prefix": f"/{kind}/", "kind": kind, "timeout_ms": 3000, "target_latency_ms": 300,
             "priority": 2, "service": "desk", "max_attempts": 2, "public": False}
    route.update(changes)
    return route


def configuration(routes, services, version=7, keys=(KEY,)):
    return {"version": version, "routes": routes, "services": services, "limits": LIMITS,
            "tenants": [{"name": "hule930", "api_keys": list(keys), "priority": 1}]}


async def read_head(reader):
    """The first line and the headers of a message, with lower-case names; None at the end of the connection."""
    try:
        text = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1")
    except (asyncio.IncompleteReadError, ConnectionError):
        return None
    first, *lines = text[:-4].split("\r\n")
    headers = {}
    for line in lines:
        name, _, value = line.partition(":")
        headers[name.strip().lower()] = value.strip()
    return first, headers


async def read_body(reader, headers):
    if headers.get("transfer-encoding", "").lower() == "chunked":
        body = b""
        while True:
            size = int((await reader.readline()).split(b";")[0], 16)
            body += await reader.readexactly(size)
            await reader.readexactly(2)
            if size == 0:
                return body
    return await reader.readexactly(int(headers.get("content-length", "0")))


def response_bytes(status, headers, body):
    lines = [f"HTTP/1.1 {status} Status"] + [f"{name}: {value}" for name, value in headers.items()]
    return ("\r\n".join(lines + [f"Content-Length: {len(body)}", "", ""])).encode("latin-1") + body


class HttpServer:
    """An HTTP/1.1 server: `answer` writes the response to one request and returns whether the connection stays open."""

    def __init__(self):
        self.connections = set()

    async def open(self, ip, port=0):
        self.server = await asyncio.start_server(self.serve, ip, port, limit=READ_LIMIT)
        self.ip, self.port = self.server.sockets[0].getsockname()[:2]
        self.address = f"{self.ip}:{self.port}"

    async def serve(self, reader, writer):
        self.connections.add(writer)
        try:
            while (head := await read_head(reader)) is not None:
                method, target, _ = head[0].split(" ", 2)
                if not await self.answer(reader, writer, method, target, head[1]):
                    break
        except (ConnectionError, asyncio.IncompleteReadError):
            pass  # The peer has left.
        finally:
            self.connections.discard(writer)
            writer.close()

    async def close(self):
        self.server.close()
        for writer in list(self.connections):
            writer.transport.abort()


class Store(HttpServer):
    """The platform's table service: rows with versions, transactions with preconditions and a feed of changes."""

    def __init__(self):
        super().__init__()
        self.rows = {}
        self.version = 0
        self.era = 1
        self.is_away = False
        self.changed = asyncio.Event()

    def copy(self):
        return dict(self.rows), self.version

    def leave(self):
        """The store is away: it ends its connections, and answers nothing on new ones."""
        self.is_away = True
        for writer in list(self.connections):
            writer.transport.abort()

    def come_back(self, copy=None):
        """With a copy, the store holds what it held then, and begins a new era."""
        if copy:
            self.rows, self.version = dict(copy[0]), copy[1]
            self.era += 1
        self.is_away = False

    def put(self, table, key, value):
        self.write([{"table": table, "key": key, "value": base64.b64encode(json.dumps(value).encode()).decode()}], [])

    def write(self, writes, removed):
        self.version += 1
        for row in writes:
            self.rows[(row["table"], row["key"])] = (row["value"], self.version)
        for row in removed:
            self.rows[(row["table"], row["key"])] = (None, self.version)
        self.changed.set()
        self.changed = asyncio.Event()

    def listed(self, table, after, with_removed):
        found = []
        for (in_table, key), (value, version) in sorted(self.rows.items()):
            if in_table != table or version <= after or (value is None and not with_removed):
                continue
            row = {"table": table, "part": "", "key": key, "ver": version}
            row.update({"deleted": True} if value is None else {"value": value})
            found.append(row)
        return found

    async def answer(self, reader, writer, method, target, headers):
        body = await read_body(reader, headers)
        if self.is_away:
            return False
        path, _, text = target.partition("?")
        query = dict(part.split("=", 1) for part in text.split("&") if "=" in part)
        status, result = 200, {}
        if path == "/v1/rows-get":
            result = {"rows": self.listed(query["table"], 0, False), "has_more": False}
        elif path == "/v1/rows-feed":
            after, until = int(query["after_rev"]), now() + int(query["wait_ms"]) / 1000
            if after > self.version:
                status = 410
            while status == 200 and not (rows := self.listed(query["table"], after, True)) and now() < until:
                try:
                    await asyncio.wait_for(self.changed.wait(), until - now())
                except asyncio.TimeoutError:
                    pass
            result = {"rows": rows} if status == 200 else {}
        elif path == "/v1/rows-tx":
            change = json.loads(body)
            stale = [row for row in change["precondition"] if self.rows.get((row["table"], row["key"]), (None, 0))[1] != row["ver"]]
            if stale:
                status = 412
            else:
                self.write(change["writes"], change["remove"])
        else:
            status = 404
        result.update({"ver": self.version, "now_ms": int(now() * 1000)})
        headers = {"Content-Type": "application/json", "Store-Era": str(self.era)}
        writer.write(response_bytes(status, headers, json.dumps(result).encode()))
        await writer.drain()
        return True


class Engine(HttpServer):
    """An engine or a plain service. `work` of a subclass answers a request; `ran` lists what it began to work on."""

    def __init__(self, name, service, slots=12):
        super().__init__()
        self.name = name
        self.service = service
        self.slots = slots
        self.zone = ""
        self.pace = 1.0
        self.running = 0
        self.ran = []
        self.beats = 0
        self.born = int(time.time() * 1000)

    def entry(self):
        self.beats += 1
        return {"service": self.service, "address": self.address, "zone": self.zone, "version": "v1", "slots": self.slots,
                "state": "ready", "cold_left_ms": 0, "stage": "both", "models": [{"name": "m", "version": 1, "adapters": []}],
                "seq_no": self.beats, "born": self.born}

    def report(self):
        return {"stage": "both", "models": [{"name": "m", "version": 1, "adapters": []}], "busy": False, "seq_no": 0,
                "num_waiting": 0, "num_running": self.running, "kv_used": 1000 * self.running, "kv_total": 280000, "handles": 0,
                "pace": self.pace, "born": self.born}

    async def answer(self, reader, writer, method, target, headers):
        if target == "/v1/report":
            writer.write(response_bytes(200, {"Content-Type": "application/json"}, json.dumps(self.report()).encode()))
            await writer.drain()
            return True
        if target == "/health":
            writer.write(response_bytes(200, {"X-Instance-Id": self.name}, b""))
            await writer.drain()
            return True
        expected = headers.get("x-expect-instance", self.name)
        if expected != self.name:
            await read_body(reader, headers)
            writer.write(response_bytes(421, {"X-Instance-Id": self.name}, b""))
            await writer.drain()
            return True
        self.running += 1
        try:
            return await self.work(reader, writer, method, target, headers)
        finally:
            self.running -= 1

    def stamps(self, headers):
        attempt = headers.get("x-attempt-id", "")
        return {"X-Attempt-Id": attempt, "X-Response-Stamp": f"{self.name}.{attempt}"}

    async def work(self, reader, writer, method, target, headers):
        raise NotImplementedError


class Fleet:
    """Owns the store, the engines and the project's processes, and ends them."""

    def __init__(self, record, site="fshga-ramp"):
        self.site = SITES[site]
        self.record_path = pathlib.Path(record)
        self.lines = []
        self.started = now()
        self.folder = tempfile.TemporaryDirectory(prefix="appleramp-review-")
        self.processes = {}
        self.engines = []
        self.tasks = []
        self.block = f"127.{random.randint(64, 250)}.{random.randint(1, 250)}"
        self.machines = 0

    async def __aenter__(self):
        if not PROGRAM.exists():
            raise CannotRun("target/bin/applerampd is missing; build as deploy/system.toml says")
        self.store = Store()
        await self.store.open(self.new_ip())
        return self

    async def __aexit__(self, *failure):
        for task in self.tasks:
            task.cancel()
        for process in self.processes.values():
            if process.poll() is None:
                process.kill()
            process.wait()
        for engine in self.engines:
            await engine.close()
        await self.store.close()
        if os.environ.get("KEEP_LOGS"):
            shutil.copytree(self.folder.name, os.environ["KEEP_LOGS"], dirs_exist_ok=True)
        self.folder.cleanup()
        self.record_path.write_text("\n".join(self.lines) + "\n")

    def note(self, text):
        self.lines.append(f"{now() - self.started:8.3f} {text}")

    def new_ip(self):
        self.machines += 1
        return f"{self.block}.{self.machines}"

    async def add_engine(self, engine, ip=None):
        engine.zone = self.site["zone"]
        await engine.open(ip or self.new_ip())
        self.engines.append(engine)
        self.store.put("servers", engine.name, engine.entry())
        self.tasks.append(asyncio.ensure_future(self.beat(engine)))
        return engine

    async def beat(self, engine):
        while True:
            await asyncio.sleep(BEAT_SECONDS)
            if self.store.is_away:
                continue
            self.store.put("servers", engine.name, engine.entry())

    def spawn(self, name, template, values):
        text = (ROOT / "deploy" / template).read_text()
        filled = re.sub(r"\{\{([^}]+)\}\}", lambda match: str(values[match.group(1)]), text)
        path = pathlib.Path(self.folder.name) / f"{name}.ini"
        path.write_text(filled)
        self.restart(name)

    def restart(self, name):
        """Starts the process with the settings that it had."""
        path = pathlib.Path(self.folder.name) / f"{name}.ini"
        log = open(pathlib.Path(self.folder.name) / f"{name}.log", "ab")
        environment = {key: os.environ[key] for key in ("PATH", "HOME", "LANG") if key in os.environ}
        environment["APPLERAMP_SETTINGS"] = str(path)
        self.processes[name] = subprocess.Popen([PROGRAM, f"--settings={path}"], stdout=log, stderr=subprocess.STDOUT, env=environment, cwd=ROOT)
        log.close()
        self.note(f"started {name}")

    def start_entry(self, name):
        ip = self.new_ip()
        values = {**self.site, "node_name": name, "ip": ip, "platform.address": self.store.address, "inner_port_range.0": 7340}
        for listener in ("front", "ready_addr", "directory"):
            values[f"listen.{listener}"] = f"{ip}:{free_port(ip)}"
        self.spawn(name, "entry.ini", values)
        return {"callers": values["listen.front"], "ready": values["listen.ready_addr"]}

    def start_agent(self, name, engine):
        """The agent runs on the machine of its engine."""
        values = {**self.site, "node_name": name, "ip": engine.ip, "platform.address": self.store.address, "inner_port_range.0": 7340,
                  "app": engine.address, "service": engine.service}
        self.spawn(name, "agent.ini", values)

    def log_of(self, name):
        return (pathlib.Path(self.folder.name) / f"{name}.log").read_text(errors="replace")

    async def wait_ready(self, entry, seconds=15):
        until = now() + seconds
        while now() < until:
            try:
                reader, writer = await connect(entry["ready"])
                writer.write(b"GET /v1/ready HTTP/1.1\r\nHost: ready\r\nConnection: close\r\n\r\n")
                head = await asyncio.wait_for(read_head(reader), 1)
                writer.close()
                if head and " 200 " in head[0]:
                    return
            except (OSError, asyncio.TimeoutError):
                pass
            await asyncio.sleep(0.1)
        raise CannotRun("the entry did not become ready")

    def signal(self, name, number):
        self.note(f"{signal.Signals(number).name} to {name}")
        os.kill(self.processes[name].pid, number)


async def connect(address, receive_buffer=None):
    ip, port = address.rsplit(":", 1)
    if receive_buffer is None:
        return await asyncio.open_connection(ip, int(port), limit=READ_LIMIT)
    plain = socket.socket()
    plain.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, receive_buffer)
    plain.setblocking(False)
    await asyncio.get_running_loop().sock_connect(plain, (ip, int(port)))
    return await asyncio.open_connection(sock=plain, limit=receive_buffer)


def request_bytes(method, path, attempt, budget_ms, body=b"", extra=(), key=KEY):
    lines = [f"{method} {path} HTTP/1.1", f"Host: {HOST}", f"X-Attempt-Id: {attempt}", f"X-Time-Budget-Ms: {budget_ms}",
             f"Authorization: Token {key}", *extra]
    if body or method != "GET":
        lines.append(f"Content-Length: {len(body)}")
    return "\r\n".join(lines + ["", ""]).encode("latin-1") + body


def run(main):
    """Runs the case: 1 if the rule was broken, 0 if it held, 2 if the case could not run."""
    try:
        return asyncio.run(asyncio.wait_for(main(), 115))
    except (CannotRun, asyncio.TimeoutError, OSError) as problem:
        print(f"the case could not run: {problem!r}")
        return 2

"""Small stand-ins for the scripts of the third review: the platform's store, engines, clients, and the processes of the deploy file.

Everything listens on loopback addresses. The processes are started with the command of deploy/system.toml, and their settings are
the templates that it names, filled in as the platform would for a small deployment."""
import base64
import http.server
import json
import os
import pathlib
import random
import re
import shlex
import signal
import socket
import subprocess
import sys
import tempfile
import threading
import time
import tomllib
import urllib.parse

ROOT = pathlib.Path(__file__).resolve().parents[2]
PROGRAM = ROOT / "target" / "bin" / "applerampd"
BOUNDS = {
    "revoke_ms": 5000, "drain_ms": 2000, "grace_s": 8, "stall_ms": 1500, "retry_window_s": 10, "pass_ms": 120,
    "retry_budget_ratio": 0.2, "retry_budget_slack": 92, "cold_overshoot": 1.5, "cold_slack": 5,
}
RULE_HELD, RULE_BROKEN, NOT_RUN = 0, 1, 2


class Record:
    """The record.txt of a case: one line an event, with the seconds since the start."""

    def __init__(self, folder):
        self.path = pathlib.Path(folder) / "record.txt"
        self.file = self.path.open("w")
        self.lock = threading.Lock()
        self.began = time.monotonic()

    def now(self):
        return time.monotonic() - self.began

    def write(self, text):
        with self.lock:
            if not self.file.closed:
                self.file.write(f"{self.now():8.3f} {text}\n")

    def close(self):
        with self.lock:
            self.file.close()


# --- The platform's store.


class StoreServer(http.server.ThreadingHTTPServer):
    daemon_threads = True
    request_queue_size = 256

    def handle_error(self, request, client_address):
        pass


class Store:
    """The platform's table service: rows, transactions and the feed, as PROTOCOL.md tells them. All parts are empty."""

    def __init__(self):
        self.condition = threading.Condition()
        self.rows = {}
        self.version = 0
        store = self

        class Handler(http.server.BaseHTTPRequestHandler):
            protocol_version = "HTTP/1.1"

            def handle_any(self):
                body = self.rfile.read(int(self.headers.get("Content-Length") or 0))
                status, result = store.call(self.path, body)
                result["now_ms"] = int(time.monotonic() * 1000)
                text = json.dumps(result).encode()
                try:
                    self.send_response(status)
                    self.send_header("Content-Type", "application/json")
                    self.send_header("Content-Length", str(len(text)))
                    self.end_headers()
                    self.wfile.write(text)
                except OSError:
                    self.close_connection = True

            do_GET = do_POST = handle_any

            def log_message(self, *_):
                pass

        self.server = StoreServer(("127.0.0.1", 0), Handler)
        self.address = f"127.0.0.1:{self.server.server_address[1]}"
        threading.Thread(target=self.server.serve_forever, daemon=True).start()

    def put(self, table, key, value):
        """Writes as the operator or an engine does; returning is the acknowledgement."""
        with self.condition:
            self.apply(table, key, json.dumps(value).encode())
            self.condition.notify_all()

    def remove(self, table, key):
        with self.condition:
            self.apply(table, key, None)
            self.condition.notify_all()

    def apply(self, table, key, value):
        self.version += 1
        self.rows[(table, key)] = (value, self.version)

    def call(self, path, body):
        url = urllib.parse.urlsplit(path)
        query = {name: values[0] for name, values in urllib.parse.parse_qs(url.query, keep_blank_values=True).items()}
        if url.path == "/v1/rows-get":
            with self.condition:
                return 200, {"rows": self.listed(query["table"], 0, False, query.get("from", "")), "ver": self.version, "has_more": False}
        if url.path == "/v1/rows-feed":
            return self.feed(query["table"], int(query["after_rev"]), int(query["wait_ms"]))
        if url.path == "/v1/rows-tx":
            return self.transact(json.loads(body))
        return 404, {}

    def feed(self, table, after, wait_ms):
        deadline = time.monotonic() + wait_ms / 1000
        with self.condition:
            while True:
                rows = self.listed(table, after, True, "")
                left = deadline - time.monotonic()
                if rows or left <= 0:
                    return 200, {"rows": rows, "ver": self.version}
                self.condition.wait(left)

    def transact(self, call):
        with self.condition:
            for wanted in call.get("precondition", []):
                value, version = self.rows.get((wanted["table"], wanted["key"]), (None, 0))
                if (version if value is not None else 0) != wanted["ver"]:
                    return 412, {"rows": []}
            for row in call.get("writes", []):
                self.apply(row["table"], row["key"], base64.b64decode(row["value"]))
            for row in call.get("remove", []):
                self.apply(row["table"], row["key"], None)
            self.condition.notify_all()
            return 200, {"ver": self.version}

    def listed(self, table, after, with_removed, first):
        found = []
        for (in_table, key), (value, version) in sorted(self.rows.items()):
            if in_table != table or version <= after or key < first or (value is None and not with_removed):
                continue
            row = {"table": table, "part": "", "key": key, "ver": version}
            row.update({"deleted": True} if value is None else {"value": base64.b64encode(value).decode()})
            found.append(row)
        return found

    def close(self):
        self.server.shutdown()
        self.server.server_close()


# --- Engines.


class Request:
    def __init__(self, head):
        lines = head.decode("latin-1").split("\r\n")
        self.method, self.target, _ = lines[0].split(" ", 2)
        self.headers = {}
        for line in lines[1:]:
            name, _, value = line.partition(":")
            self.headers[name.strip().lower()] = value.strip()
        self.body = b""

    @property
    def id(self):
        return self.headers.get("x-attempt-id", "")


class Engine:
    """A sound engine on raw sockets. `answer` of a subclass writes the answer of a request."""

    def __init__(self, record, name, service, zone="a", slots=12, address=("127.0.0.1", 0)):
        self.record = record
        self.name = name
        self.service = service
        self.zone = zone
        self.slots = slots
        self.born = int(time.time() * 1000)
        self.ran = []
        self.lock = threading.Lock()
        self.connections = set()
        self.listener = socket.socket()
        self.listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        self.listener.bind(address)
        self.listener.listen(512)
        self.address = "%s:%d" % self.listener.getsockname()
        threading.Thread(target=self.accept, daemon=True).start()

    def row(self, state="ready"):
        return {"service": self.service, "address": self.address, "zone": self.zone, "version": "1", "slots": self.slots, "state": state,
                "cold_left_ms": 0, "seq_no": 0, "born": self.born}

    def register(self, store, state="ready"):
        store.put("servers", self.name, self.row(state))

    def accept(self):
        while True:
            try:
                connection, _ = self.listener.accept()
            except OSError:
                return
            connection.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            with self.lock:
                self.connections.add(connection)
            threading.Thread(target=self.serve, args=(connection,), daemon=True).start()

    def serve(self, connection):
        received = b""
        try:
            while True:
                while b"\r\n\r\n" not in received:
                    more = connection.recv(65536)
                    if not more:
                        return
                    received += more
                head, received = received.split(b"\r\n\r\n", 1)
                request = Request(head)
                length = int(request.headers.get("content-length", 0))
                while len(received) < length:
                    more = connection.recv(262144)
                    if not more:
                        return
                    received += more
                request.body, received = received[:length], received[length:]
                if not self.respond(connection, request):
                    return
        except OSError:
            pass
        finally:
            with self.lock:
                self.connections.discard(connection)
            connection.close()

    def respond(self, connection, request):
        if request.target.startswith("/health"):
            connection.sendall(f"HTTP/1.1 200 OK\r\nX-Instance-Id: {self.name}\r\nContent-Length: 0\r\n\r\n".encode())
            return True
        if request.headers.get("x-expect-instance", self.name) != self.name:
            connection.sendall(f"HTTP/1.1 421 Misdirected\r\nX-Attempt-Id: {request.id}\r\nX-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n".encode())
            return True
        with self.lock:
            self.ran.append(request.id)
        self.record.write(f"run {self.name} {request.id} {request.method} {request.target}")
        return self.answer(connection, request)

    def head(self, request, more):
        return (f"HTTP/1.1 200 OK\r\nX-Attempt-Id: {request.id}\r\nX-Response-Stamp: {self.name}.{request.id}\r\n{more}\r\n").encode()

    def answer(self, connection, request):
        body = b"x" * 800
        connection.sendall(self.head(request, f"Content-Length: {len(body)}\r\n") + body)
        return True

    def close(self):
        self.listener.close()


# --- The configuration.


def route(name, prefix, kind, service, timeout_ms, **more):
    return {"name": name, "host": "site.example", "prefix": prefix, "kind": kind, "service": service, "timeout_ms": timeout_ms,
            "target_latency_ms": 500, "max_attempts": 2 if kind != "unsafe" else 1, "priority": 1, **more}


def configuration(version, routes, services, keys=("key-1",)):
    return {"version": version, "routes": routes, "tenants": [{"name": "kitchen", "api_keys": list(keys)}],
            "services": [{"name": name, "health_path": "/health", "max_conns": 288, "cold_start_s": 0.0, "cold_per_s": 0.0} for name in services],
            "limits": {"max_header_bytes": 16384, "max_body_bytes": 4194304, "header_timeout_ms": 5000, "idle_timeout_ms": 20000}}


# --- The system's own processes.


def fill_in(template, fields):
    """Fills in the placeholders {{a}}, {{a.b}} and {{a.0}} as DEPLOY.md tells."""

    def value(match):
        found = fields
        for part in match.group(1).split("."):
            found = found[int(part)] if isinstance(found, list) else found.get(part, "")
        return ",".join(map(str, found)) if isinstance(found, list) else str(found)

    return re.sub(r"\{\{([a-z_0-9.]+)\}\}", value, template)


def free_loopback_address():
    """A loopback address of its own for each process, since some ports are fixed in the templates."""
    while True:
        address = "127.%d.%d.%d" % (random.randint(10, 250), random.randint(1, 250), random.randint(2, 250))
        try:
            for port in (8220, 8224, 8227, 9464):
                with socket.socket() as probe:
                    probe.bind((address, port))
            return address
        except OSError:
            continue


class Fleet:
    """Starts the processes of the deploy file and ends those, by their id, when it is closed."""

    def __init__(self, record, store):
        self.record = record
        self.store = store
        self.folder = tempfile.TemporaryDirectory(prefix="appleramp-review-")
        self.deploy = tomllib.loads((ROOT / "deploy" / "system.toml").read_text())["roles"]
        self.processes = {}
        self.ips = {}
        # A time-out of run.sh ends the processes as well.
        signal.signal(signal.SIGTERM, lambda *_: sys.exit(NOT_RUN))

    def __enter__(self):
        return self

    def __exit__(self, *_):
        for process in self.processes.values():
            if process.poll() is None:
                process.send_signal(signal.SIGCONT)
                process.kill()
            process.wait()
        self.folder.cleanup()

    def entry_fields(self, name, zone="a", bounds=None):
        ip = self.ips.setdefault(name, free_loopback_address())
        return {"node_name": name, "zone": zone, "ip": ip, "inner_port_range": [7340, 7355], "platform": {"address": self.store.address},
                "listen": {"front": f"{ip}:8227", "ready_addr": f"{ip}:8220", "directory": f"{ip}:8224"},
                "bounds": {**BOUNDS, **(bounds or {})}, "limits": {"link_mbps": 1000}}

    def start_entry(self, name, zone="a", bounds=None):
        return self.start("entry", name, self.entry_fields(name, zone, bounds))

    def write_settings(self, role, name, fields):
        path = pathlib.Path(self.folder.name) / f"{name}.ini"
        path.write_text(fill_in((ROOT / self.deploy[role]["template"]).read_text(), fields))
        return path

    def start(self, role, name, fields):
        path = self.write_settings(role, name, fields)
        command = [word.replace("/etc/appleramp/settings.toml", str(path)) for word in shlex.split(self.deploy[role]["run"])]
        command[0] = str(ROOT / command[0])
        log = open(pathlib.Path(self.folder.name) / f"{name}.log", "ab")
        self.processes[name] = subprocess.Popen(command, cwd=ROOT, stdout=log, stderr=log, stdin=subprocess.DEVNULL,
                                                env={key: os.environ[key] for key in ("PATH", "HOME", "LANG") if key in os.environ})
        log.close()
        self.record.write(f"started {name} pid {self.processes[name].pid}")
        return fields["ip"]

    def log_lines(self, name):
        lines = []
        for text in (pathlib.Path(self.folder.name) / f"{name}.log").read_text(errors="replace").splitlines():
            try:
                lines.append(json.loads(text))
            except ValueError:
                pass
        return lines

    def wait_ready(self, name, seconds=20):
        deadline = time.monotonic() + seconds
        while time.monotonic() < deadline:
            try:
                with socket.create_connection((self.ips[name], 8220), timeout=1) as connection:
                    connection.sendall(b"GET /v1/ready HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n")
                    if connection.recv(64).startswith(b"HTTP/1.1 200"):
                        return True
            except OSError:
                pass
            time.sleep(0.1)
        return False

    def metric(self, name, metric):
        try:
            with socket.create_connection((self.ips[name], 9464), timeout=2) as connection:
                connection.sendall(b"GET /v1/metrics HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n")
                text = b""
                while more := connection.recv(65536):
                    text += more
        except OSError:
            return None
        for line in text.decode().splitlines():
            if line.split(" ")[0] == metric:
                return float(line.split(" ")[1])
        return None

    def resident_kb(self, name):
        try:
            for line in open(f"/proc/{self.processes[name].pid}/status"):
                if line.startswith("VmRSS"):
                    return int(line.split()[1])
        except OSError:
            pass
        return 0


# --- Clients.


class Answer:
    def __init__(self):
        self.status = None  # None: the connection ended without the head of an answer.
        self.headers = {}
        self.body = b""
        self.complete = False
        self.retry_after = None


def read_answer(connection, answer):
    """Reads one answer; `complete` is set only if it ends as the protocol says."""
    received = b""
    while b"\r\n\r\n" not in received:
        more = connection.recv(65536)
        if not more:
            return received
        received += more
    head, received = received.split(b"\r\n\r\n", 1)
    lines = head.decode("latin-1").split("\r\n")
    answer.status = int(lines[0].split(" ")[1])
    for line in lines[1:]:
        name, _, value = line.partition(":")
        answer.headers[name.strip().lower()] = value.strip()
    if answer.headers.get("transfer-encoding") == "chunked":
        while True:
            while b"\r\n" not in received:
                more = connection.recv(65536)
                if not more:
                    return b""
                received += more
            size_text, received = received.split(b"\r\n", 1)
            size = int(size_text.split(b";")[0], 16)
            while len(received) < size + 2:
                more = connection.recv(65536)
                if not more:
                    answer.body += received[:size]
                    return b""
                received += more
            answer.body += received[:size]
            received = received[size + 2:]
            if size == 0:
                answer.complete = True
                return received
    length = int(answer.headers.get("content-length", 0))
    while len(received) < length:
        more = connection.recv(65536)
        if not more:
            answer.body = received
            return b""
        received += more
    answer.body, received = received[:length], received[length:]
    answer.complete = True
    return received


def request_bytes(method, path, attempt, body=b"", key="key-1", budget_ms=8000, headers=()):
    lines = [f"{method} {path} HTTP/1.1", "Host: site.example", f"X-Attempt-Id: {attempt}", f"X-Time-Budget-Ms: {budget_ms}",
             f"Authorization: Token {key}", *headers]
    if body or method == "POST":
        lines.append(f"Content-Length: {len(body)}")
    return ("\r\n".join(lines) + "\r\n\r\n").encode() + body


def ask(address, data, timeout):
    """Sends one request on a connection of its own."""
    answer = Answer()
    try:
        with socket.create_connection(address, timeout=1) as connection:
            connection.settimeout(timeout)
            connection.sendall(data)
            read_answer(connection, answer)
    except OSError:
        pass
    return answer

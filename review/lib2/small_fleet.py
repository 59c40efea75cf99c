"""A small deployment on loopback for the scripts of this review: processes started by the commands and templates of the deploy file, and
stand-ins for the platform's store, servers and clients. Python's standard library only."""
import base64
import copy
import http.server
import json
import os
import pathlib
import re
import signal
import socket
import subprocess
import sys
import tempfile
import threading
import time
import urllib.parse

ROOT = pathlib.Path(__file__).resolve().parents[2]
TROUBLE = os.environ.get("TROUBLE", "1") != "0"
KEY = "n2ctnfzs989anu6wsjnb"
HOST = "desk.example"
# The bounds that the sheets of the two sites in force give.
BOUNDS = {"revoke_ms": 5000, "drain_ms": 2000, "grace_s": 8, "stall_ms": 1500, "retry_window_s": 10, "pass_ms": 120,
          "retry_budget_ratio": 0.2, "retry_budget_slack": 92, "cold_overshoot": 1.5, "cold_slack": 5}


def free_port(kind=socket.SOCK_STREAM):
    with socket.socket(socket.AF_INET, kind) as probe:
        probe.bind(("127.0.0.1", 0))
        return probe.getsockname()[1]


def rendered(template, fields):
    """Fills in the placeholders of a template of settings, which are plain values."""
    def value(match):
        found = fields
        for part in match[1].split("."):
            found = found[int(part)] if isinstance(found, list) else found[part]
        return str(found)
    return re.sub(r"\{\{([a-z0-9_.]+)\}\}", value, template)


class Record:
    """What was sent, answered and run, line by line with seconds since the start."""

    def __init__(self, folder):
        self.begun = time.monotonic()
        self.lock = threading.Lock()
        self.file = open(pathlib.Path(folder) / "record.txt", "w")
        self.write(f"TROUBLE={int(TROUBLE)}")

    def write(self, text):
        with self.lock:
            self.file.write(f"{time.monotonic() - self.begun:8.3f} {text}\n")
            self.file.flush()


class Store:
    """The platform's store: rows with versions from one counter, and a feed of changes."""

    def __init__(self):
        self.condition = threading.Condition(threading.RLock())
        self.rows = {}
        self.version = 0
        self.era = 1
        self.is_down = False
        outer = self

        class Handler(http.server.BaseHTTPRequestHandler):
            protocol_version = "HTTP/1.1"

            def handle_any(self):
                body = self.rfile.read(int(self.headers.get("Content-Length") or 0))
                status, result = outer.answer(self.path, body)
                result["now_ms"] = int(time.monotonic() * 1000)
                text = json.dumps(result).encode()
                try:
                    self.send_response(status)
                    self.send_header("Content-Type", "application/json")
                    self.send_header("Store-Era", str(outer.era))
                    self.send_header("Content-Length", str(len(text)))
                    self.end_headers()
                    self.wfile.write(text)
                except OSError:
                    self.close_connection = True

            do_GET = do_POST = handle_any

            def log_message(self, *_):
                pass

        class Listener(http.server.ThreadingHTTPServer):
            daemon_threads = True
            request_queue_size = 128

            def handle_error(self, request, client_address):
                if not isinstance(sys.exc_info()[1], OSError):
                    super().handle_error(request, client_address)

        self.server = Listener(("127.0.0.1", 0), Handler)
        self.port = self.server.server_address[1]
        threading.Thread(target=self.server.serve_forever, daemon=True).start()

    def put(self, table, key, value):
        """Returns the version of the row, which is the store's acknowledgement."""
        with self.condition:
            return self.apply(table, key, json.dumps(value).encode())

    def remove(self, table, key):
        with self.condition:
            return self.apply(table, key, None)

    def apply(self, table, key, value):
        self.version += 1
        self.rows[table, key] = (value, self.version)
        self.condition.notify_all()
        return self.version

    def copied(self):
        with self.condition:
            return copy.copy(self.rows), self.version

    def restore(self, saved):
        """The store comes back from that copy."""
        with self.condition:
            self.rows, self.version = copy.copy(saved[0]), saved[1]
            self.era += 1
            self.is_down = False
            self.condition.notify_all()

    def answer(self, path, body):
        url = urllib.parse.urlsplit(path)
        query = {name: values[0] for name, values in urllib.parse.parse_qs(url.query).items()}
        with self.condition:
            if self.is_down:
                return 503, {}
            if url.path == "/v1/rows-get":
                return 200, {"rows": self.listed(query["table"], 0, False, query.get("from", "")), "ver": self.version, "has_more": False}
            if url.path == "/v1/rows-feed":
                return self.feed(query["table"], int(query["after_rev"]), float(query["wait_ms"]) / 1000)
            if url.path == "/v1/rows-tx":
                return self.transact(json.loads(body))
        return 404, {}

    def transact(self, change):
        for row in change.get("precondition", []):
            value, version = self.rows.get((row["table"], row["key"]), (None, 0))
            if (version if value is not None else 0) != row["ver"]:
                return 412, {"rows": [], "ver": self.version}
        if any(row["table"] in ("op", "servers") for part in ("writes", "remove") for row in change.get(part, [])):
            return 403, {}
        self.version += 1
        for row in change.get("writes", []):
            self.rows[row["table"], row["key"]] = (base64.b64decode(row["value"]), self.version)
        for row in change.get("remove", []):
            self.rows[row["table"], row["key"]] = (None, self.version)
        self.condition.notify_all()
        return 200, {"ver": self.version}

    def feed(self, table, after, wait):
        era, until = self.era, time.monotonic() + wait
        while True:
            if self.is_down:
                return 503, {}
            if after > self.version or era != self.era:
                return 410, {}
            rows = self.listed(table, after, True)
            left = until - time.monotonic()
            if rows or left <= 0:
                return 200, {"rows": rows, "ver": self.version}
            self.condition.wait(left)

    def listed(self, table, after, with_removed, first=""):
        found = []
        for (in_table, key), (value, version) in sorted(self.rows.items(), key=lambda row: row[0]):
            if in_table != table or version <= after or key < first or (value is None and not with_removed):
                continue
            row = {"table": table, "part": "", "key": key, "ver": version}
            row.update({"deleted": True} if value is None else {"value": base64.b64encode(value).decode()})
            found.append(row)
        return found


class Request:
    def __init__(self, line, headers, body):
        self.method, self.path, _ = line.split(" ", 2)
        self.headers = headers
        self.body = body

    @property
    def id(self):
        return self.headers.get("x-attempt-id", "")


def read_request(connection, received):
    """Reads one request of a connection; `received` keeps what follows it. None at the end of the connection."""
    while b"\r\n\r\n" not in received:
        more = connection.recv(65536)
        if not more:
            return None
        received += more
    end = received.index(b"\r\n\r\n")
    lines = bytes(received[:end]).decode("latin-1").split("\r\n")
    del received[:end + 4]
    headers = {name.strip().lower(): value.strip() for name, value in (line.split(":", 1) for line in lines[1:])}
    length = int(headers.get("content-length", 0))
    while len(received) < length:
        more = connection.recv(262144)
        if not more:
            return None
        received += more
    body = bytes(received[:length])
    del received[:length]
    return Request(lines[0], headers, body)


class Server:
    """A server of a service, which registers itself in the store. Subclasses say in `run` how it answers; one thread a connection."""

    BEAT_SECONDS = 1.2

    def __init__(self, store, record, name, service, slots):
        self.store, self.record, self.name, self.service, self.slots = store, record, name, service, slots
        self.born = int(time.time() * 1000)
        self.beats = 0
        self.is_registered = True
        self.listener = socket.create_server(("127.0.0.1", 0), backlog=256)
        self.address = f"127.0.0.1:{self.listener.getsockname()[1]}"
        threading.Thread(target=self.accept, daemon=True).start()
        threading.Thread(target=self.beat, daemon=True).start()

    def row(self):
        self.beats += 1
        return {"service": self.service, "address": self.address, "zone": "a", "version": "v1", "slots": self.slots, "state": "ready",
                "cold_left_ms": 0, "seq_no": self.beats, "born": self.born}

    def beat(self):
        while self.is_registered:
            if not self.store.is_down:
                self.store.put("servers", self.name, self.row())
            time.sleep(self.BEAT_SECONDS)

    def accept(self):
        while True:
            try:
                connection, _ = self.listener.accept()
            except OSError:
                return
            connection.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            threading.Thread(target=self.serve, args=(connection,), daemon=True).start()

    def serve(self, connection):
        received = bytearray()
        try:
            while request := read_request(connection, received):
                if not self.run(connection, request):
                    break
        except OSError:
            pass  # The other side has left.
        finally:
            connection.close()

    def common(self, request):
        return f"X-Attempt-Id: {request.id}\r\nX-Response-Stamp: {self.name}\r\n"

    def send(self, connection, request, status, body, fields=""):
        head = f"HTTP/1.1 {status} X\r\n{self.common(request)}{fields}Content-Length: {len(body)}\r\n\r\n"
        connection.sendall(head.encode() + body)
        return True


def headers_of(name, path, budget_ms, body_bytes, method="POST", fields=""):
    return (f"{method} {path} HTTP/1.1\r\nHost: {HOST}\r\nX-Attempt-Id: {name}\r\nX-Time-Budget-Ms: {budget_ms}\r\n"
            f"Authorization: Token {KEY}\r\n{fields}Content-Length: {body_bytes}\r\n\r\n").encode()


class Answer:
    def __init__(self, status, headers, body, is_whole):
        self.status, self.headers, self.body, self.is_whole = status, headers, body, is_whole


def read_answer(connection, received):
    """One answer of a connection: None if it ends before a whole head."""
    try:
        while b"\r\n\r\n" not in received:
            more = connection.recv(65536)
            if not more:
                return None
            received += more
    except OSError:
        return None
    end = received.index(b"\r\n\r\n")
    lines = bytes(received[:end]).decode("latin-1").split("\r\n")
    del received[:end + 4]
    headers = {name.strip().lower(): value.strip() for name, value in (line.split(":", 1) for line in lines[1:])}
    status = int(lines[0].split()[1])

    def need(count):
        while len(received) < count:
            more = connection.recv(65536)
            if not more:
                raise EOFError
            received.extend(more)
        taken = bytes(received[:count])
        del received[:count]
        return taken

    body = b""
    try:
        if headers.get("transfer-encoding") == "chunked":
            while True:
                while b"\r\n" not in received:
                    more = connection.recv(65536)
                    if not more:
                        raise EOFError
                    received.extend(more)
                size = int(need(received.index(b"\r\n") + 2).split(b";")[0], 16)
                piece = need(size + 2)[:-2]
                if size == 0:
                    return Answer(status, headers, body, True)
                body += piece
        body = need(int(headers.get("content-length", 0)))
        return Answer(status, headers, body, True)
    except (EOFError, OSError):
        return Answer(status, headers, body, False)


class SmallFleet:
    """The store, and the processes of the system, which it ends by their ids when it is closed."""

    def __init__(self, folder):
        self.record = Record(folder)
        self.folder = tempfile.TemporaryDirectory(prefix="appleramp-review-")
        self.store = Store()
        self.processes = {}
        self.logs = {}
        self.roles = self.read_deploy_file()

    def __enter__(self):
        return self

    def __exit__(self, *_):
        for process in self.processes.values():
            if process.poll() is None:
                process.send_signal(signal.SIGCONT)
                process.kill()
            process.wait()
        self.folder.cleanup()

    @staticmethod
    def read_deploy_file():
        roles, current = {}, None
        for line in (ROOT / "deploy" / "system.toml").read_text().splitlines():
            if match := re.fullmatch(r"\[roles\.(\w+)\]", line.strip()):
                current = roles.setdefault(match[1], {})
            elif current is not None and (match := re.fullmatch(r'(\w+) = "([^"]*)"', line.strip())):
                current[match[1]] = match[2]
        return roles

    def start_entry(self, name, zone="a", output=None):
        """Starts an entry as the deploy file does, with its log in a file or at that descriptor. Returns its ports."""
        # Each entry has an address of its own, as each machine has: the port of its metrics is fixed in the template.
        address = f"127.0.{len(self.processes) + 1}.{os.getpid() % 250 + 2}"
        with socket.socket() as probe:
            probe.bind((address, 0))
        ports = {use: free_port() for use in ("callers", "readiness", "directory")}
        links = free_port(socket.SOCK_DGRAM)
        fields = {"node_name": name, "zone": zone, "ip": address, "inner_port_range": [links, links + 15], "bounds": BOUNDS,
                  "listen": {"front": f"{address}:{ports['callers']}", "ready_addr": f"{address}:{ports['readiness']}",
                             "directory": f"{address}:{ports['directory']}"},
                  "platform": {"address": f"127.0.0.1:{self.store.port}"}}
        role = self.roles["entry"]
        settings = pathlib.Path(self.folder.name) / f"{name}.ini"
        settings.write_text(rendered((ROOT / role["template"]).read_text(), fields))
        command = role["run"].replace("/etc/appleramp/settings.toml", str(settings)).split()
        self.logs[name] = pathlib.Path(self.folder.name) / f"{name}.log"
        with open(self.logs[name], "ab") as log:
            self.processes[name] = subprocess.Popen(command, cwd=ROOT, stdout=log if output is None else output, stderr=log)
        self.record.write(f"started {name}: {' '.join(role['run'].split())}")
        return {"address": address, **ports}

    def is_ready(self, ports):
        try:
            with socket.create_connection((ports["address"], ports["readiness"]), timeout=1) as connection:
                connection.sendall(b"GET /v1/ready HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n")
                answer = read_answer(connection, bytearray())
                return answer is not None and answer.status == 200
        except OSError:
            return False

    def wait_ready(self, ports, seconds=15):
        until = time.monotonic() + seconds
        while not self.is_ready(ports):
            if time.monotonic() > until:
                raise RuntimeError("an entry does not get ready")
            time.sleep(0.05)

    def logged(self, name, what):
        lines = self.logs[name].read_text(errors="replace").splitlines()
        return [line for line in lines if f'"what":"{what}"' in line]


def connect(ports, receive_buffer=None):
    connection = socket.socket()
    if receive_buffer:
        connection.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, receive_buffer)
    connection.settimeout(30)
    connection.connect((ports["address"], ports["callers"]))
    connection.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
    return connection


def configuration(version, services, routes, keys=(KEY,)):
    """Routes are given by name, kind, service and what differs from the usual; limits are those of the sites in force."""
    return {"version": version, "routes": [{"name": name, "host": HOST, "prefix": f"/{name}/", "kind": kind, "service": service,
                                            "timeout_ms": 8000, "target_latency_ms": 500, "priority": 1, "max_attempts": 2, "public": False,
                                            **more} for name, kind, service, more in routes],
            "services": [{"name": service, "health_path": "/health", "max_conns": 288, "cold_start_s": 0.0, "cold_per_s": 0.0}
                         for service in services],
            "limits": {"max_header_bytes": 16384, "max_body_bytes": 4194304, "header_timeout_ms": 3000, "idle_timeout_ms": 15000},
            "tenants": [{"name": "hule930", "api_keys": list(keys), "priority": 1}]}


def finish(run):
    """Exit codes of the review's scripts: 1 if the rule was broken, 0 if it held, 2 if the case couldn't run."""
    try:
        broken = run()
    except Exception as problem:  # The case couldn't run, whatever the reason is.
        print(f"could not run: {type(problem).__name__}: {problem}", file=sys.stderr)
        raise SystemExit(2) from problem
    raise SystemExit(1 if broken else 0)

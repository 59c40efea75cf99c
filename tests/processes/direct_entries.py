"""Starts entries of the direct fleet before the stand-ins of the users' platform."""
import json
import pathlib
import resource
import subprocess
import tempfile
import threading

from platform_stand_in import Store

BIN = pathlib.Path(__file__).resolve().parents[2] / "build" / "bin"
SERVICE = "ledger"
STREAM_TIMEOUT_MS = 4000


def configuration(version, keys):
    return {"version": version, "tenants": [{"name": "kitchen", "api_keys": keys}],
            "services": [{"name": SERVICE, "health_path": "/health", "max_conns": 100, "cold_start_s": 0.0, "cold_per_s": 0.0}],
            "routes": [{"name": "read", "host": "a.example", "prefix": "/read/", "kind": "safe", "timeout_ms": 3000,
                        "target_latency_ms": 300, "service": SERVICE, "max_attempts": 2},
                       {"name": "stream", "host": "a.example", "prefix": "/stream/", "kind": "streaming", "timeout_ms": STREAM_TIMEOUT_MS,
                        "target_latency_ms": 600, "gap_target_ms": 200, "service": SERVICE, "max_attempts": 2, "resumable": True}],
            "limits": {"max_header_bytes": 16384, "max_body_bytes": 65536, "header_timeout_ms": 3000, "idle_timeout_ms": 15000}}


class Entries:
    """Owns a store and the entries that it starts, and ends them, by pid, when it is closed."""

    def __init__(self, fast_return=False, bounds=None):
        self.fast_return = fast_return
        self.bounds = {"revocation_ms": 3000, **(bounds or {})}
        self.folder = tempfile.TemporaryDirectory(prefix="appleramp-direct-")
        self.store = Store()
        self.processes = {}
        self.lines = {}

    def __enter__(self):
        return self

    def __exit__(self, *failure):
        for process in self.processes.values():
            if process.poll() is None:
                process.kill()
            process.wait()
        self.store.close()
        self.folder.cleanup()

    def register(self, endpoint, state="ready"):
        self.store.put("servers", endpoint.name, {"service": SERVICE, "address": endpoint.address, "zone": "a", "slots": 8,
                                                  "state": state, "seq_no": 1, "cold_left_ms": 0})

    def start(self, name, sections="", descriptors=None):
        """Starts an entry, with further sections of settings and a limit of descriptors, and returns the ports that its first log line names."""
        any_port = "127.0.0.1:0"
        text = (f"[process]\nrole = direct_entry\ninstance = {name}\navailability_zone = a\n"
                f"[listen]\ncallers = {any_port}\nreadiness = {any_port}\ndirectory = {any_port}\noperations = {any_port}\n"
                f"links = {any_port}\n[store]\naddress = 127.0.0.1:{self.store.port}\nfast_return = {str(self.fast_return).lower()}\n{sections}[bounds]\n")
        text += "".join(f"{name} = {value}\n" for name, value in self.bounds.items())
        path = pathlib.Path(self.folder.name) / f"{name}.ini"
        path.write_text(text)
        limit = None if descriptors is None else lambda: resource.setrlimit(resource.RLIMIT_NOFILE, (descriptors, descriptors))
        process = subprocess.Popen([BIN / "applerampd", "--settings", str(path)], stdout=subprocess.PIPE, text=True, preexec_fn=limit)
        self.processes[name] = process
        self.lines[name] = []
        for line in process.stdout:
            self.lines[name].append(json.loads(line))
            if self.lines[name][-1].get("callers"):
                break
        else:
            raise RuntimeError(f"{name} did not start")
        started = self.lines[name][-1]
        threading.Thread(target=self.collect, args=(name, process), daemon=True).start()
        return {port: int(started[port]) for port in ("callers", "readiness", "directory", "operations")}

    def stop(self, name):
        self.processes[name].kill()
        self.processes[name].wait()

    def collect(self, name, process):
        for line in process.stdout:
            self.lines[name].append(json.loads(line))

    def logged(self, name, what):
        return [line for line in list(self.lines[name]) if line.get("what") == what]

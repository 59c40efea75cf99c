"""Starts a small fleet on loopback: stand-ins for platform and engines, agents and entries as separate processes."""
import http.client
import json
import pathlib
import signal
import subprocess
import tempfile
import time

BIN = pathlib.Path(__file__).resolve().parent.parent / "build" / "bin"
START_SECONDS = 20


class Fleet:
    """Owns the processes that it starts and ends them, by pid, when it is closed."""

    def __init__(self, spans_url=""):
        self.spans_url = spans_url
        self.folder = tempfile.TemporaryDirectory(prefix="appleramp-demo-")
        self.processes = {}
        self.entries = {}
        self.platform_port = self.start("platform", [BIN / "stand_in_platform"])["port"]

    def __enter__(self):
        return self

    def __exit__(self, *failure):
        for process in self.processes.values():
            if process.poll() is None:
                process.kill()
            process.wait()
        self.folder.cleanup()

    def start(self, name, command):
        """Starts a program and returns the ports that it prints as its first line."""
        log = open(pathlib.Path(self.folder.name) / f"{name}.log", "w")
        process = subprocess.Popen(command, stdout=subprocess.PIPE, stderr=log, text=True)
        self.processes[name] = process
        line = process.stdout.readline()
        if not line:
            raise RuntimeError(f"{name} did not start: " + open(log.name).read())
        return json.loads(line)

    def settings(self, name, text):
        path = pathlib.Path(self.folder.name) / f"{name}.ini"
        url = f"http://127.0.0.1:{self.platform_port}"
        if self.spans_url:
            text += f"\n[observe]\nspans_url = {self.spans_url}\n"
        path.write_text(text + f"\n[platform]\ntable_url = {url}\nobjects_url = {url}\ninstances_url = {url}\n")
        return str(path)

    def engine(self, name, kind, *options):
        return self.start(name, [BIN / "stand_in_engine", f"--kind={kind}", *options])["port"]

    def agent(self, name, zone, kind, service, port, capacity=4, cold_slots=2):
        text = (f"[process]\nrole = agent\ninstance = {name}\navailability_zone = {zone}\n"
                f"[listen]\noperations = 127.0.0.1:0\nlinks = 127.0.0.1:0\n"
                f"[endpoint]\nid = {name}-endpoint\nkind = {kind}\nurl = http://127.0.0.1:{port}\n"
                f"services = {service}\ncapacity = {capacity}\ncold_slots = {cold_slots}\n")
        return self.start(name, [BIN / "applerampd", "--settings", self.settings(name, text)])

    def entry(self, name, zone):
        text = (f"[process]\nrole = entry\ninstance = {name}\navailability_zone = {zone}\n"
                f"[listen]\ncallers = 127.0.0.1:0\noperations = 127.0.0.1:0\nlinks = 127.0.0.1:0\n")
        self.entries[name] = self.start(name, [BIN / "applerampd", "--settings", self.settings(name, text)])
        return self.entries[name]

    def stop(self, name):
        """Asks a process to stop and leaves it running until it has finished its work."""
        self.processes[name].send_signal(signal.SIGTERM)


def call(port, method, path, body=None, headers=None, timeout=30):
    """One HTTP exchange: status, headers and body."""
    connection = http.client.HTTPConnection("127.0.0.1", port, timeout=timeout)
    try:
        connection.request(method, path, body, headers or {})
        response = connection.getresponse()
        return response.status, dict(response.getheaders()), response.read().decode()
    finally:
        connection.close()


def get_json(port, path):
    return json.loads(call(port, "GET", path)[2])


def wait_until(what, check, seconds=START_SECONDS):
    """Polls until the check gives something true; raises if it never does."""
    deadline = time.monotonic() + seconds
    while time.monotonic() < deadline:
        result = check()
        if result:
            return result
        time.sleep(0.05)
    raise RuntimeError("timeout: " + what)

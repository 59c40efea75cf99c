"""The real programs of the direct fleet as processes on loopback; ends only what it started, by pid."""
import asyncio
import pathlib
import signal
import socket
import subprocess
import time

ROOT = pathlib.Path(__file__).resolve().parents[2]
PROGRAM = ROOT / "build" / "bin" / "applerampd"
GRACE_MS, REVOKE_MS, DRAIN_MS = 4000, 5000, 2000
# A process that was disturbed within this time is not held to bounds in time.
CONTACT_SECONDS = 3.0


def free_port(kind):
    with socket.socket(socket.AF_INET, kind) as probe:
        probe.bind(("127.0.0.1", 0))
        return probe.getsockname()[1]


class Member:
    """One process and its settings; it is started again with the same ones."""

    def __init__(self, name, zone, store_address, folder, endpoint=None):
        self.name, self.zone, self.folder = name, zone, folder
        self.store_address, self.endpoint = store_address, endpoint
        self.is_entry = endpoint is None
        # Spans in which the process or its links were disturbed.
        self.disturbances = []
        self.process = None
        # A process is stopped, killed or frozen by one fault at a time.
        self.lifecycle = asyncio.Lock()
        self.choose_ports()

    def choose_ports(self):
        tcp = {port: f"127.0.0.1:{free_port(socket.SOCK_STREAM)}" for port in ("callers", "readiness", "directory", "operations")}
        self.callers, self.directory = tcp["callers"], tcp["directory"]
        role = "direct_entry" if self.is_entry else "direct_agent"
        listen = [f"operations = {tcp['operations']}", f"links = 127.0.0.1:{free_port(socket.SOCK_DGRAM)}"]
        bounds = [f"grace_ms = {GRACE_MS}", "stall_ms = 1500"]
        if self.is_entry:
            listen += [f"{port} = {tcp[port]}" for port in ("callers", "readiness", "directory")]
            bounds += [f"revocation_ms = {REVOKE_MS}", f"drain_ms = {DRAIN_MS}", "repeat_window_ms = 10000", "pause_ms = 150",
                       "repeat_ratio = 0.2", "repeat_constant = 90", "cold_factor = 1.5", "cold_constant = 5"]
        text = ["[process]", f"role = {role}", f"instance = {self.name}", f"availability_zone = {self.zone}", "[listen]", *listen,
                "[store]", f"address = {self.store_address}", "[bounds]", *bounds]
        if self.endpoint:
            text += ["[endpoint]", f"address = {self.endpoint}", "services = pool"]
        self.settings = self.folder / f"{self.name}.ini"
        self.settings.write_text("\n".join(text) + "\n")

    def start(self):
        log = open(self.folder / f"{self.name}.log", "a")
        self.process = subprocess.Popen([str(PROGRAM), f"--settings={self.settings}"], stdout=log, stderr=log)
        self.note_disturbance(time.monotonic(), time.monotonic())

    def lost_its_port(self):
        """Another process of the machine took a port between its choice and its use."""
        log = (self.folder / f"{self.name}.log").read_text()
        return log.rstrip().endswith("Address already in use")

    async def supervise(self, report):
        """Starts the process again if it ended by itself, which is a fault unless it could not have its port."""
        while True:
            await asyncio.sleep(0.2)
            async with self.lifecycle:
                code = self.process.poll()
                if code is None:
                    continue
                if not self.lost_its_port():
                    report(f"FAULT {self.name} ended by itself with {code}")
                self.choose_ports()
                self.start()

    def send(self, number):
        if self.process and self.process.poll() is None:
            self.process.send_signal(number)

    def note_disturbance(self, begin, end):
        self.disturbances.append((begin, end))

    async def kill(self, seconds):
        async with self.lifecycle:
            began = time.monotonic()
            self.send(signal.SIGKILL)
            self.process.wait()
            await asyncio.sleep(seconds)
            self.start()
            self.note_disturbance(began, time.monotonic())

    async def stop_and_start(self):
        """A planned stop; returns its exit code, or none if it had to be killed."""
        async with self.lifecycle:
            began = time.monotonic()
            self.send(signal.SIGTERM)
            while self.process.poll() is None and time.monotonic() < began + GRACE_MS / 1000 + 2:
                await asyncio.sleep(0.02)
            code = self.process.poll()
            if code is None:
                self.send(signal.SIGKILL)
                self.process.wait()
            self.start()
            self.note_disturbance(began, time.monotonic())
            return code

    async def freeze(self, seconds):
        async with self.lifecycle:
            began = time.monotonic()
            self.send(signal.SIGSTOP)
            await asyncio.sleep(seconds)
            self.send(signal.SIGCONT)
            self.note_disturbance(began, time.monotonic())

    def in_touch(self, at):
        return all(at < begin or at > end + CONTACT_SECONDS for begin, end in self.disturbances)

    def end(self):
        if self.process and self.process.poll() is None:
            self.process.send_signal(signal.SIGCONT)
            self.process.kill()
            self.process.wait()

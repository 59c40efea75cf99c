"""Connections that send what sound callers don't, and what must hold of the process that they reach: it lives, stays within the memory
of the smallest machine of the deployments, and still answers."""
import http.client
import pathlib
import socket
import subprocess

from direct_entries import BIN, STREAM_TIMEOUT_MS, Entries, configuration
from fleet import call, wait_until
from platform_stand_in import Endpoint

MEBIBYTE = 1024 * 1024
# Memory of the smallest machine of the deployments that are served.
MACHINE_MEMORY_BYTES = 112 * MEBIBYTE
MAX_HEADER_BYTES = 16 * 1024
MAX_BODY_BYTES = 4 * MEBIBYTE
SECONDS = 30
PIECE = 64 * 1024
HEAD = "POST /read/{name} HTTP/1.1\r\nHost: a.example\r\nAuthorization: Token k1\r\nX-Attempt-Id: {name}\r\nX-Time-Budget-Ms: {budget}\r\n"


def head(name, *fields):
    """A request that the configuration allows; `fields` state its framing."""
    return (HEAD.format(name=name, budget=STREAM_TIMEOUT_MS) + "".join(field + "\r\n" for field in fields) + "\r\n").encode()


def process_status(process, name):
    for line in pathlib.Path(f"/proc/{process.pid}/status").read_text().splitlines():
        if line.startswith(name + ":"):
            return int(line.split()[1])
    raise AssertionError(f"the process has ended: no {name}")


def has_setting(key):
    """Builds from before a limit of memory refuse its key."""
    return f"`{key}`" in subprocess.run([BIN / "applerampd", "--describe-settings"], capture_output=True, text=True, check=True).stdout


def peak_memory(process):
    return 1024 * process_status(process, "VmHWM")


def open_descriptors(process):
    return len(list(pathlib.Path(f"/proc/{process.pid}/fd").iterdir()))


class Caller:
    """A connection that may be refused or closed at any moment."""

    def __init__(self, port, receive_buffer=None):
        self.socket = socket.socket()
        if receive_buffer:
            self.socket.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, receive_buffer)
        self.socket.settimeout(SECONDS)
        self.is_closed = False
        self.sent = 0
        try:
            self.socket.connect(("127.0.0.1", port))
        except OSError:
            self.is_closed = True

    def send(self, data):
        """Returns whether the peer took everything."""
        if self.is_closed:
            return False
        try:
            self.socket.sendall(data)
            self.sent += len(data)
            return True
        except TimeoutError:
            raise AssertionError(f"the process reads nothing any more, after {self.sent} bytes") from None
        except OSError:
            self.is_closed = True
            return False

    def send_repeatedly(self, piece, total):
        while self.sent < total and self.send(piece):
            pass

    def answer(self):
        """Status, headers and body of the next answer; None if the connection ends before it."""
        response = http.client.HTTPResponse(self.socket)
        try:
            response.begin()
            return response.status, response.headers, response.read()
        except TimeoutError:
            raise AssertionError("the process does not answer any more") from None
        except (OSError, http.client.HTTPException):
            return None
        finally:
            response.close()

    def close(self):
        self.socket.close()


class HostileCallers:
    """One entry, one endpoint, and the connections of a crowd, which stay open until the end."""

    def __init__(self, endpoint=None, descriptors=None):
        self.fleet = Entries()
        self.endpoint = endpoint or Endpoint("e1")
        self.descriptors = descriptors
        self.callers = []

    def __enter__(self):
        settings = configuration(1, ["k1"])
        settings["limits"].update({"max_header_bytes": MAX_HEADER_BYTES, "max_body_bytes": MAX_BODY_BYTES})
        self.fleet.store.put("op", "config", settings)
        self.fleet.register(self.endpoint)
        limits = f"[limits]\nmemory_mb = {MACHINE_MEMORY_BYTES // MEBIBYTE}\n" if has_setting("memory_mb") else ""
        self.ports = self.fleet.start("entry-1", limits, self.descriptors)
        wait_until("ready", lambda: call(self.ports["readiness"], "GET", "/v1/ready")[0] == 200)
        return self

    def __exit__(self, *failure):
        for caller in self.callers:
            caller.close()
        self.fleet.__exit__(*failure)
        self.endpoint.close()

    @property
    def process(self):
        return self.fleet.processes["entry-1"]

    def connect(self, port="callers", receive_buffer=None):
        self.callers.append(Caller(self.ports[port], receive_buffer))
        return self.callers[-1]

    def gauge(self, name):
        for line in call(self.ports["operations"], "GET", "/v1/metrics")[2].splitlines():
            if line.startswith(name + " "):
                return float(line.split()[1])
        raise AssertionError(f"no metric {name}")

    def check_memory(self, what):
        peak = peak_memory(self.process)
        assert peak <= MACHINE_MEMORY_BYTES, f"{what}: {peak // MEBIBYTE} MB, of {MACHINE_MEMORY_BYTES // MEBIBYTE} MB"
        return peak

    def check(self, what):
        """The process lives within its memory, and answers one ordinary request while the crowd is still there."""
        assert self.process.poll() is None, f"{what}: the process ended with {self.process.returncode}"
        self.check_memory(what)
        caller = Caller(self.ports["callers"])
        name = f"ordinary-{what.replace(' ', '-')}"
        caller.send(head(name, "Content-Length: 2") + b"{}")
        answer = caller.answer()
        caller.close()
        assert answer is not None and answer[0] == 200 and answer[2] == b"e1", f"{what}: an ordinary request got {answer}"
        assert call(self.ports["readiness"], "GET", "/v1/ready")[0] == 200, what
        # Until then the process may not have read all that the crowd sent.
        peak = self.check_memory(what)
        print(f"{what}: at most {peak // MEBIBYTE} MB, {open_descriptors(self.process)} descriptors")


def is_not_run(answer):
    return answer[0] in (408, 421, 429, 503) and b"not_run" in answer[2]

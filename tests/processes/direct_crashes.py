"""Real entries before endpoints that end when they begin to answer to one part of prompts: after few of them all entries refuse that
part, also entries that were killed and started again, and requests that share the other part are served."""
import http.client
import pathlib
import socket
import sys
import threading
import time

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parents[2] / "scripts"))
sys.path.insert(0, str(pathlib.Path(__file__).resolve().parent))

from direct_entries import Entries, configuration  # noqa: E402
from fleet import call, wait_until  # noqa: E402

ENDPOINTS = 8
ENTRIES = 3
SHARED_PART = "0a1b"
CRASHING_PART = "dead"
# The users' bounds: the engines that such requests may crash, and the requests that may reach engines afterwards.
MAX_DEATHS = 5 + 3
MAX_REQUESTS = 60
PAUSE_SECONDS = 0.1
EVENTS = 4


class MortalEndpoint:
    """Streams answers on raw sockets, and ends like a crashed process when a prompt has the crashing part."""

    def __init__(self, name):
        self.name = name
        self.listener = socket.create_server(("127.0.0.1", 0))
        self.address = f"127.0.0.1:{self.listener.getsockname()[1]}"
        self.connections = []
        self.dead = False
        threading.Thread(target=self.accept, daemon=True).start()

    def accept(self):
        while not self.dead:
            try:
                connection, _ = self.listener.accept()
            except OSError:
                return
            self.connections.append(connection)
            threading.Thread(target=self.serve, args=(connection,), daemon=True).start()

    def die(self):
        self.dead = True
        self.listener.shutdown(socket.SHUT_RDWR)
        self.listener.close()
        for connection in self.connections:
            try:
                connection.shutdown(socket.SHUT_RDWR)
            except OSError:
                pass
            connection.close()

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
                headers = dict(line.split(": ", 1) for line in head.decode().split("\r\n")[1:])
                received = received[int(headers.get("Content-Length", "0")):]
                common = f"X-Attempt-Id: {headers.get('X-Attempt-Id', '')}\r\nX-Response-Stamp: {self.name}\r\n"
                connection.sendall(f"HTTP/1.1 200 OK\r\n{common}Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n".encode())
                if CRASHING_PART in headers.get("X-Prompt-Prefix", ""):
                    return self.die()
                for number in range(1, EVENTS + 1):
                    event = f"id: {number}\ndata: piece\n\n".encode()
                    connection.sendall(f"{len(event):x}\r\n".encode() + event + b"\r\n")
                connection.sendall(b"0\r\n\r\n")
        except OSError:
            return


def ask(ports, number, parts):
    """Returns the status and body of a stream with these parts in its prompt, or None if it was cut off."""
    connection = http.client.HTTPConnection("127.0.0.1", ports["callers"], timeout=30)
    prefix = ",".join(f"{part}:40" for part in [*parts, f"{number:x}"])
    headers = {"Host": "a.example", "Authorization": "Token k1", "X-Attempt-Id": f"s{number}", "X-Time-Budget-Ms": "3000",
               "X-Prompt-Prefix": prefix}
    try:
        connection.request("POST", f"/stream/{number}", b"{}", headers)
        response = connection.getresponse()
        return response.status, response.read()
    except (OSError, http.client.HTTPException):
        return None
    finally:
        connection.close()


def is_convicted(answer):
    return answer is not None and answer[0] == 503 and b"breaks_endpoints" in answer[1]


class Fleet(Entries):
    def __init__(self):
        super().__init__()
        self.endpoints = []
        self.life = 0
        self.number = 0
        self.ports = []

    def refill(self):
        """Replaces the dead endpoints by new ones, as a platform does."""
        for endpoint in [endpoint for endpoint in self.endpoints if endpoint.dead]:
            self.store.remove("servers", endpoint.name)
            self.endpoints.remove(endpoint)
        while len(self.endpoints) < ENDPOINTS:
            self.life += 1
            self.endpoints.append(MortalEndpoint(f"e{self.life}"))
            self.register(self.endpoints[-1])

    def start_all(self, generation):
        self.ports = [self.start(f"entry-{generation}-{index}") for index in range(ENTRIES)]
        for ports in self.ports:
            wait_until("ready", lambda ports=ports: call(ports["readiness"], "GET", "/v1/ready")[0] == 200)

    def ask(self, entry, parts):
        self.number += 1
        return ask(self.ports[entry], self.number, parts)

    def deaths(self):
        return self.life - sum(not endpoint.dead for endpoint in self.endpoints)


def main():
    with Fleet() as fleet:
        fleet.store.put("op", "config", configuration(1, ["k1"]))
        fleet.refill()
        fleet.start_all(1)

        refused_by = set()
        for request in range(MAX_REQUESTS):
            entry = request % ENTRIES
            if is_convicted(fleet.ask(entry, [SHARED_PART, CRASHING_PART])):
                refused_by.add(entry)
            if len(refused_by) == ENTRIES:
                break
            # Callers come one by one; the entries tell each other meanwhile.
            wait_until("next caller", lambda due=time.monotonic() + PAUSE_SECONDS: time.monotonic() >= due)
            fleet.refill()
        assert len(refused_by) == ENTRIES, refused_by
        assert fleet.deaths() <= MAX_DEATHS, fleet.deaths()
        wait_until("row of the conviction", lambda: any(table == "appleramp-crashes" for table, _ in list(fleet.store.rows)))

        served = [fleet.ask(entry, [SHARED_PART]) for entry in range(ENTRIES) for _ in range(4)]
        assert all(answer is not None and answer[0] == 200 and answer[1].count(b"piece") == EVENTS for answer in served), served

        for process in fleet.processes.values():
            process.kill()
            process.wait()
        before = fleet.deaths()
        fleet.start_all(2)
        for entry in range(ENTRIES):
            answer = fleet.ask(entry, [SHARED_PART, CRASHING_PART])
            assert is_convicted(answer), answer
            assert fleet.ask(entry, [SHARED_PART])[0] == 200
        assert fleet.deaths() == before, (fleet.deaths(), before)
    print(f"{before} endpoints ended, then all entries refused the part, also after they had been killed; the shared part was served")


if __name__ == "__main__":
    main()

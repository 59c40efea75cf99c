"""Stand-ins for the users' platform in the tests of the direct fleet: its row store and plain endpoints, with faults that a test
switches on. They speak only what these tests need."""
import base64
import copy
import http.server
import json
import sys
import threading
import time
import urllib.parse

FEED_SLICE_SECONDS = 0.02


class QueueingServer(http.server.ThreadingHTTPServer):
    """Takes crowds that connect at the same moment; the library's own queue holds five."""

    daemon_threads = True
    request_queue_size = 256

    def handle_error(self, request, client_address):
        # A caller that resets its connection is expected in many tests.
        if not isinstance(sys.exc_info()[1], ConnectionError):
            super().handle_error(request, client_address)


class Server:
    """An HTTP/1.1 server on a free port of the loopback interface; `answer` gives status, headers and body of a request."""

    def __init__(self):
        outer = self

        class Handler(http.server.BaseHTTPRequestHandler):
            protocol_version = "HTTP/1.1"

            def handle_any(self):
                length = int(self.headers.get("Content-Length") or 0)
                body = self.rfile.read(length)
                status, headers, text = outer.answer(self.command, self.path, self.headers, body)
                self.send_response(status)
                for name, value in headers.items():
                    self.send_header(name, value)
                self.send_header("Content-Length", str(len(text)))
                try:
                    self.end_headers()
                    self.wfile.write(text)
                except ConnectionError:
                    # The caller has left; a long poll of a process that ended, for instance.
                    self.close_connection = True

            do_GET = do_POST = handle_any

            def log_message(self, *_):
                pass

        self.server = QueueingServer(("127.0.0.1", 0), Handler)
        self.port = self.server.server_address[1]
        threading.Thread(target=self.server.serve_forever, daemon=True).start()

    def answer(self, method, path, headers, body):
        raise NotImplementedError

    def close(self):
        self.server.shutdown()
        self.server.server_close()


class Store(Server):
    """Versioned rows with a feed of changes. `restore` brings an older copy back, as the platform's drill does."""

    def __init__(self):
        self.lock = threading.Lock()
        self.rows = {}
        # Rows whose values are handed out as they were written.
        self.not_encoded = set()
        self.version = 0
        self.generation = 1
        self.oldest = 0
        self.is_away = False
        self.calls = 0
        super().__init__()

    def put(self, table, key, value):
        with self.lock:
            self.apply(table, key, value if isinstance(value, str) else json.dumps(value), False)

    def put_encoded(self, table, key, value):
        """Leaves the value as it is, as a writer that does not encode it would."""
        with self.lock:
            self.apply(table, key, value, False)
            self.not_encoded.add((table, key))

    def remove(self, table, key):
        with self.lock:
            self.apply(table, key, "", True)

    def apply(self, table, key, text, removed):
        self.version += 1
        self.rows[(table, key)] = (text, self.version, removed)

    def backup(self):
        with self.lock:
            return copy.deepcopy((self.rows, self.version))

    def leave(self):
        self.is_away = True

    def come_back(self):
        self.is_away = False

    def restore(self, backup):
        with self.lock:
            self.rows, self.version = copy.deepcopy(backup)
            self.generation += 1
        self.is_away = False

    def answer(self, method, path, headers, body):
        self.calls += 1
        if self.is_away:
            return 503, {}, b"{}"
        url = urllib.parse.urlsplit(path)
        query = {name: values[0] for name, values in urllib.parse.parse_qs(url.query).items()}
        status, result = self.call(url.path, query, body)
        result["now_ms"] = int(time.monotonic() * 1000)
        return status, {"Content-Type": "application/json", "Store-Era": str(self.generation)}, json.dumps(result).encode()

    def call(self, path, query, body):
        if path == "/v1/rows-get":
            with self.lock:
                return 200, {"rows": self.listed(query["table"], 0, False), "ver": self.version, "has_more": False}
        if path == "/v1/rows-feed":
            return self.feed(query["table"], int(query["after_rev"]), int(query["wait_ms"]))
        with self.lock:
            change = json.loads(body)
            for row in change["writes"]:
                self.apply(row["table"], row["key"], base64.b64decode(row["value"]).decode(), False)
            for row in change["remove"]:
                self.apply(row["table"], row["key"], "", True)
            return 200, {"ver": self.version}

    def feed(self, table, after, wait_ms):
        deadline = time.monotonic() + wait_ms / 1000
        while True:
            with self.lock:
                if self.is_away:
                    return 503, {}
                if after > self.version:
                    return 410, {}
                rows = self.listed(table, after, True)
                if rows or time.monotonic() >= deadline:
                    return 200, {"rows": rows, "ver": self.version}
            time.sleep(FEED_SLICE_SECONDS)

    def listed(self, table, after, with_removed):
        found = []
        for (in_table, key), (text, version, removed) in sorted(self.rows.items()):
            if in_table != table or version <= after or (removed and not with_removed):
                continue
            row = {"table": table, "part": "", "key": key, "ver": version}
            value = text if (in_table, key) in self.not_encoded else base64.b64encode(text.encode()).decode()
            row.update({"deleted": True} if removed else {"value": value})
            found.append(row)
        return found


class Endpoint(Server):
    """A plain endpoint. It keeps the time of each request that reached it."""

    def __init__(self, name, leaving=False):
        self.name = name
        self.leaving = leaving
        self.pause_seconds = None
        # Requests per second that it names as its limit.
        self.limit = None
        # Time for which it works on a request.
        self.work_seconds = 0.0
        self.arrivals = []
        self.ids = set()
        super().__init__()

    @property
    def address(self):
        return f"127.0.0.1:{self.port}"

    def answer(self, method, path, headers, body):
        self.arrivals.append(time.monotonic())
        self.ids.add(headers.get("X-Attempt-Id"))
        if self.work_seconds:
            time.sleep(self.work_seconds)
        answer = {"X-Attempt-Id": headers.get("X-Attempt-Id", ""), "X-Response-Stamp": self.name}
        if self.leaving:
            answer["Server-Leaving"] = "1"
        if self.limit is not None:
            answer["Server-Limit"] = str(self.limit)
        if self.pause_seconds is not None:
            answer.update({"X-Not-Executed": "1", "Retry-After": str(self.pause_seconds)})
            return 503, answer, b"full"
        return 200, answer, self.name.encode()

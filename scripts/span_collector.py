"""A collector of spans on loopback, for the demo and the process tests."""
import http.server
import json
import threading


class Collector:
    """Takes OTLP JSON over HTTP and keeps the spans."""

    def __init__(self):
        spans = self.spans = []

        class Handler(http.server.BaseHTTPRequestHandler):
            def do_POST(self):
                body = json.loads(self.rfile.read(int(self.headers["Content-Length"])))
                spans.extend(body["resourceSpans"][0]["scopeSpans"][0]["spans"])
                self.send_response(200)
                self.send_header("Content-Length", "0")
                self.end_headers()

            def log_message(self, *arguments):
                pass

        self.server = http.server.ThreadingHTTPServer(("127.0.0.1", 0), Handler)
        threading.Thread(target=self.server.serve_forever, daemon=True).start()
        self.url = f"http://127.0.0.1:{self.server.server_port}/v1/traces"

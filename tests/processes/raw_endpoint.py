"""An endpoint on raw sockets, whose subclasses say what it answers."""
import socket
import threading


class Request:
    def __init__(self, head, body):
        lines = head.decode("latin-1").split("\r\n")
        self.method, self.target, _ = lines[0].split(" ", 2)
        self.headers = {name.lower(): value for name, value in (line.split(": ", 1) for line in lines[1:])}
        self.body = body

    @property
    def name(self):
        return self.headers.get("x-attempt-id", "")


class RawEndpoint:
    """One thread for each connection, which ends when `answer` returns False."""

    # Whether the body of a request is read before it is answered. Otherwise the request has what came with its head.
    READS_BODIES = True

    def __init__(self, name, receive_buffer=None):
        self.name = name
        self.listener = socket.socket()
        if receive_buffer:
            self.listener.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, receive_buffer)
        self.listener.bind(("127.0.0.1", 0))
        self.listener.listen(256)
        self.address = f"127.0.0.1:{self.listener.getsockname()[1]}"
        threading.Thread(target=self.accept, daemon=True).start()

    def respond(self, connection, request):
        return self.answer(connection, request)

    def accept(self):
        while True:
            try:
                connection, _ = self.listener.accept()
            except OSError:
                return  # Closed.
            connection.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
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
                request = Request(head, b"")
                if self.READS_BODIES:
                    length = int(request.headers.get("content-length", 0))
                    while len(received) < length:
                        more = connection.recv(262144)
                        if not more:
                            return
                        received += more
                    request.body, received = received[:length], received[length:]
                else:
                    request.body, received = received, b""
                if not self.respond(connection, request):
                    return
        except OSError:
            return  # The entry has left.
        finally:
            connection.close()

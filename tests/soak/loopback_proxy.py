"""A proxy on loopback whose connections are delayed, reset, cut one way or silenced."""
import asyncio


class LoopbackProxy:
    def __init__(self):
        self.mode = ""
        self.delay = 0.0
        self.writers = set()

    async def start(self, target):
        self.target = target
        self.server = await asyncio.start_server(self.on_connection, "127.0.0.1", 0)
        self.address = f"127.0.0.1:{self.server.sockets[0].getsockname()[1]}"

    def reset_all(self):
        for writer in list(self.writers):
            writer.transport.abort()

    async def on_connection(self, reader, writer):
        try:
            await self.pass_on(reader, writer)
        except asyncio.CancelledError:
            # The soak ends.
            writer.transport.abort()

    async def pass_on(self, reader, writer):
        if self.mode == "refuse":
            writer.transport.abort()
            return
        host, port = self.target.split(":")
        try:
            far_reader, far_writer = await asyncio.open_connection(host, int(port))
        except OSError:
            writer.transport.abort()
            return
        self.writers |= {writer, far_writer}
        await asyncio.gather(self.pump(reader, far_writer, "to"), self.pump(far_reader, writer, "from"))
        self.writers -= {writer, far_writer}

    async def pump(self, reader, writer, direction):
        try:
            while data := await reader.read(65536):
                if self.delay:
                    await asyncio.sleep(self.delay)
                # Bytes of a cut direction are lost; the connection stays open, as behind a partition.
                if self.mode == "silent" or self.mode == direction:
                    continue
                writer.write(data)
                await writer.drain()
            writer.close()
        except (ConnectionError, OSError, asyncio.CancelledError):
            writer.transport.abort()

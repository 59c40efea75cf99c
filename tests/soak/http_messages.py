"""Reads and writes HTTP/1.1 messages on asyncio streams; just what the stand-ins and callers of the soak need."""
import asyncio


class Broken(Exception):
    """The connection ended or was reset before the message was whole."""


async def read_head(reader):
    try:
        text = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1")
    except (asyncio.IncompleteReadError, ConnectionError, asyncio.LimitOverrunError) as problem:
        raise Broken(str(problem)) from problem
    first, *lines = text.split("\r\n")
    headers = {}
    for line in lines:
        if ":" in line:
            name, value = line.split(":", 1)
            headers[name.strip().lower()] = value.strip()
    return first, headers


async def read_chunk(reader):
    """One chunk of a chunked body; empty at its end."""
    try:
        size = int((await reader.readline()).strip() or b"x", 16)
        data = await reader.readexactly(size + 2)
        return data[:-2]
    except (asyncio.IncompleteReadError, ConnectionError, ValueError) as problem:
        raise Broken(str(problem)) from problem


async def read_body(reader, headers):
    if headers.get("transfer-encoding") == "chunked":
        parts = []
        while part := await read_chunk(reader):
            parts.append(part)
        return b"".join(parts)
    try:
        return await reader.readexactly(int(headers.get("content-length", "0")))
    except (asyncio.IncompleteReadError, ConnectionError) as problem:
        raise Broken(str(problem)) from problem


async def read_request(reader):
    first, headers = await read_head(reader)
    method, target, _ = first.split(" ")
    return method, target, headers, await read_body(reader, headers)


def response(status, headers=None, body=b""):
    lines = [f"HTTP/1.1 {status} x", f"Content-Length: {len(body)}"]
    lines += [f"{name}: {value}" for name, value in (headers or {}).items()]
    return ("\r\n".join(lines) + "\r\n\r\n").encode() + body


def request(method, target, headers, body=b""):
    lines = [f"{method} {target} HTTP/1.1", f"Content-Length: {len(body)}"]
    lines += [f"{name}: {value}" for name, value in headers.items()]
    return ("\r\n".join(lines) + "\r\n\r\n").encode() + body


async def serve(handle):
    """Serves `handle(method, target, headers, body, writer)` at a port of the kernel's; returns (server, address)."""

    async def on_connection(reader, writer):
        try:
            while True:
                method, target, headers, body = await read_request(reader)
                await handle(method, target, headers, body, writer)
                await writer.drain()
        except (Broken, ConnectionError, ValueError, asyncio.CancelledError):
            # The peer went away, or the soak ends.
            pass
        finally:
            writer.close()

    server = await asyncio.start_server(on_connection, "127.0.0.1", 0)
    port = server.sockets[0].getsockname()[1]
    return server, f"127.0.0.1:{port}"

"""Small HTTP/1.1 server and client on loopback, on asyncio and the standard library only."""

import asyncio
import json
import socket


def free_port():
    with socket.socket() as probe:
        probe.bind(("127.0.0.1", 0))
        return probe.getsockname()[1]


def free_ports(count):
    probes = [socket.socket() for _ in range(count)]
    for probe in probes:
        probe.bind(("127.0.0.1", 0))
    ports = [probe.getsockname()[1] for probe in probes]
    for probe in probes:
        probe.close()
    return ports


REASONS = {200: "OK", 201: "Created", 400: "Bad Request", 404: "Not Found", 409: "Conflict",
           410: "Gone", 421: "Misdirected Request", 429: "Too Many Requests",
           500: "Internal Server Error", 503: "Service Unavailable"}


async def read_message(reader):
    """Reads one message. Returns the first line's words, the headers and the body; None at the end."""
    head = await reader.readuntil(b"\r\n\r\n")
    lines = head.decode("latin-1").split("\r\n")
    headers = {}
    for line in lines[1:]:
        if ":" in line:
            name, value = line.split(":", 1)
            headers[name.strip().lower()] = value.strip()
    length = int(headers.get("content-length", "0"))
    body = await reader.readexactly(length) if length else b""
    if headers.get("transfer-encoding", "").lower() == "chunked":
        parts = []
        while True:
            size = int((await reader.readline()).split(b";")[0], 16)
            parts.append(await reader.readexactly(size))
            await reader.readexactly(2)
            if size == 0:
                break
        body = b"".join(parts)
    return lines[0].split(" ", 2), headers, body


class Server:
    """Serves requests with `handler(method, path, body) -> (status, value)`; the value is JSON, or bytes
    that are JSON already, or None for no answer: the connection is then reset."""

    def __init__(self, port, handler):
        self.port, self.handler = port, handler
        self.server = None
        self.writers = set()

    async def start(self):
        self.server = await asyncio.start_server(
            self.serve, "127.0.0.1", self.port, limit=1 << 20, backlog=512)

    def stop(self):
        if self.server:
            self.server.close()
        self.reset()

    def reset(self):
        for writer in list(self.writers):
            writer.transport.abort()

    async def serve(self, reader, writer):
        self.writers.add(writer)
        sock = writer.get_extra_info("socket")
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        try:
            while True:
                first, headers, body = await read_message(reader)
                answer = await self.handler(first[0], first[1], body)
                if answer is None:
                    writer.transport.abort()
                    return
                status, value = answer
                data = value if isinstance(value, bytes) else json.dumps(value).encode()
                head = (f"HTTP/1.1 {status} {REASONS.get(status, 'X')}\r\n"
                        f"content-type: application/json\r\ncontent-length: {len(data)}\r\n\r\n")
                writer.write(head.encode() + data)
                await writer.drain()
                if headers.get("connection", "").lower() == "close":
                    return
        except (asyncio.IncompleteReadError, asyncio.LimitOverrunError, ConnectionError, OSError):
            pass
        finally:
            self.writers.discard(writer)
            writer.close()


class Caller:
    """Calls one server, on kept connections."""

    def __init__(self, port):
        self.port = port
        self.idle = []

    async def call(self, method, path, body=None, limit=5.0):
        """Returns (status, body as JSON, headers), or None without an answer in time."""
        try:
            return await asyncio.wait_for(self.exchange(method, path, body), limit)
        except (asyncio.TimeoutError, asyncio.IncompleteReadError, ConnectionError, OSError,
                ValueError):
            return None

    async def exchange(self, method, path, body):
        while self.idle:
            reader, writer = self.idle.pop()
            if not reader.at_eof() and not writer.is_closing():
                break
            writer.close()
        else:
            reader, writer = await asyncio.open_connection("127.0.0.1", self.port, limit=1 << 20)
        done = False
        try:
            data = b"" if body is None else json.dumps(body).encode()
            head = (f"{method} {path} HTTP/1.1\r\nhost: 127.0.0.1:{self.port}\r\n"
                    f"content-type: application/json\r\ncontent-length: {len(data)}\r\n\r\n")
            writer.write(head.encode() + data)
            await writer.drain()
            first, headers, answer = await read_message(reader)
            done = headers.get("connection", "").lower() != "close"
            try:
                value = json.loads(answer) if answer else None
            except ValueError:
                value = None
            return int(first[1]), value, headers
        finally:
            if done and len(self.idle) < 8:
                self.idle.append((reader, writer))
            else:
                writer.close()

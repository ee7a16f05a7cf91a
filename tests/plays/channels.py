"""Servers and channels of the stand-ins, and the cut of a zone with its processes."""

import asyncio
import base64
import ipaddress
import json
import os
import socket
import sys
from urllib.parse import parse_qs, urlsplit

REPO = os.path.dirname(os.path.dirname(os.path.dirname(os.path.abspath(__file__))))
sys.path.insert(0, os.path.join(REPO, "review"))
import lab
from lab import DROP

POLL_S = 0.003
PEER_PORT = 7001


class HttpServer(lab.HttpServer):
    """A server that may answer a call that is open at a restart, if it `carries_over`: the handler decides then."""

    def __init__(self, handler, address=("127.0.0.1", 0)):
        super().__init__(handler, address)
        self.carries_over = False

    async def _serve(self, reader, writer):
        life = self.life
        sock = writer.get_extra_info("socket")
        if sock is not None:
            sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        self.writers.add(writer)
        try:
            while True:
                head = await reader.readuntil(b"\r\n\r\n")
                if life != self.life:
                    writer.transport.abort()
                    return
                lines = head.decode("latin-1").split("\r\n")
                method, target, _ = lines[0].split(" ", 2)
                headers = {}
                for line in lines[1:]:
                    name, _, value = line.partition(":")
                    if name:
                        headers[name.strip().lower()] = value.strip()
                length = int(headers.get("content-length", "0"))
                body = await reader.readexactly(length) if length else b""
                answer = await self.handler(method, target, headers, body)
                if answer is DROP or (life != self.life and not self.carries_over):
                    # Nothing is answered any more; the channel stays open and silent.
                    await reader.read(1)
                    writer.transport.abort()
                    return
                status, payload, kind = answer
                writer.write(
                    f"HTTP/1.1 {status} X\r\ncontent-type: {kind}\r\n"
                    f"content-length: {len(payload)}\r\n\r\n".encode() + payload
                )
                await writer.drain()
        except (asyncio.IncompleteReadError, ConnectionError, asyncio.LimitOverrunError):
            pass
        finally:
            self.writers.discard(writer)
            writer.close()


class Zones:
    """The zone that is cut off from the others and from the store, and the zones of processes. Calls over the cut
    are dropped, or held to its end."""

    def __init__(self, held):
        self.held = held
        self.cut = None
        self.leaders = {}

    def parts(self, one, other):
        return self.cut is not None and (one == self.cut) != (other == self.cut)

    async def passes(self, parted):
        """Whether a call or an answer arrives, at once or after the cut; `parted` says whether it is cut off now."""
        while parted():
            if not self.held:
                return False
            await asyncio.sleep(POLL_S)
        return True


class Gate:
    """The way of one process to the store. It gives the addresses of its links in place of those of other processes."""

    def __init__(self, store, zones, zone):
        self.store, self.zones, self.zone = store, zones, zone
        self.links = []

    async def handle(self, method, target, headers, body):
        def parted():
            return self.zones.parts(self.zone, None)

        if not await self.zones.passes(parted):
            return DROP
        query = parse_qs(urlsplit(target).query)
        if "producer" in query:
            self.zones.leaders.setdefault(int(query["epoch"][0]), self.zone)
        answer = await self.store.handle(method, target, headers, body)
        return self.translate(answer) if await self.zones.passes(parted) else DROP

    def translate(self, answer):
        if answer is DROP or not self.links:
            return answer
        status, payload, kind = answer
        if kind == "application/json":
            value = json.loads(payload)
            for item in value.get("items", []):
                item["value"] = base64.b64encode(self.replace(base64.b64decode(item["value"]))).decode()
            return status, json.dumps(value).encode(), kind
        return status, self.replace(payload), kind

    def replace(self, record):
        for ip, port in self.links:
            record = record.replace(packed(ip, PEER_PORT), packed(ip, port))
        return record


def packed(ip, port):
    """An address as the records of the processes have it (MessagePack)."""
    octets = ipaddress.ip_address(ip).packed
    return b"".join(bytes([n]) if n < 128 else bytes([0xCC, n]) for n in octets).join([b"\x94", b"\xcd" + port.to_bytes(2, "big")])


class Link:
    """Channels from one process to another, which go silent while one of them is cut off."""

    def __init__(self, zones, ends, address):
        self.zones, self.ends, self.address = zones, ends, address

    async def open(self):
        self.server = await asyncio.start_server(self.serve, self.address[0], 0)
        return self.server.sockets[0].getsockname()[1]

    async def serve(self, reader, writer):
        try:
            other_reader, other_writer = await asyncio.open_connection(*self.address)
        except OSError:
            writer.transport.abort()
            return
        await asyncio.gather(self.pump(reader, other_writer), self.pump(other_reader, writer))

    async def pump(self, reader, writer):
        """Carries bytes on. Those of a cut are held to its end, or lost with the channel."""
        try:
            while data := await reader.read(65_536):
                if not await self.zones.passes(lambda: self.zones.parts(*self.ends)):
                    while self.zones.parts(*self.ends):
                        await asyncio.sleep(POLL_S)
                    break
                writer.write(data)
                await writer.drain()
        except ConnectionError:
            pass
        writer.transport.abort()


async def join(processes, zones):
    """Opens a link from each process to each other one of another zone."""
    for process in processes:
        for other in processes:
            if process.zone != other.zone:
                port = await Link(zones, (process.zone, other.zone), (other.ip, PEER_PORT)).open()
                process.gate.links.append((other.ip, port))

"""An engine stand-in that crashes on certain prompt parts and comes back.

It answers prompts with streams of events. All engines of a test write to one
EngineJournal, from which the test judges what reached them. Runs on the
asyncio loop of the test and listens on loopback.
"""

import asyncio
import json
import socket
import struct
import time
from dataclasses import dataclass, field

from gateway_standins import read_message

MODEL = "model-1"
SERVICE = "llm"
SLOTS = 48
KV_CAPACITY = 500_000
EVENTS = 8
FIRST_EVENT_S = 0.06
EVENT_GAP_S = 0.03
RESTART_S = (2.0, 3.5)
RESET_LINGER = struct.pack("ii", 1, 0)


@dataclass
class Arrival:
    """A request that an engine received and did not turn away."""
    attempt_id: str
    engine: str
    at: float
    parts: list[str]
    began: bool = False


@dataclass
class Crash:
    """`part` is the prompt part that caused it, or None."""
    engine: str
    at: float
    part: str | None
    in_flight: int


@dataclass
class EngineJournal:
    """What all engines of a test have received, and their crashes."""
    arrivals: list[Arrival] = field(default_factory=list)
    crashes: list[Crash] = field(default_factory=list)

    def crashes_by(self, part):
        return [crash.at for crash in self.crashes if crash.part == part]


def prompt_parts(headers):
    """Returns the ids of the request's prompt parts in order."""
    entries = headers.get("x-prompt-prefix", "").split(",")
    return [entry.partition(":")[0] for entry in entries if entry]


def chunk(data):
    return b"%x\r\n%s\r\n" % (len(data), data)


def event(attempt_id, number):
    return f"id: {number}\ndata: {attempt_id}-{number}\n\n".encode()


def whole_body(attempt_id):
    return b"".join(event(attempt_id, i) for i in range(1, EVENTS + 1))


class CrashingEngine:
    """Crashes when it begins to answer a prompt with one of `crashing_parts`.

    A crash resets all connections and closes the listener. The engine returns
    at the same address with a new id or a new start time (`born`).
    """

    def __init__(self, name, zone, store, journal, crashing_parts, rng,
                 framed=True):
        self.name = name
        self.zone = zone
        self.store = store
        self.journal = journal
        self.crashing_parts = crashing_parts
        self.rng = rng
        # Whether streams come in chunks, or end with their connection.
        self.framed = framed
        self.generation = 1
        self.id = f"{name}-1"
        self.server = None
        self.connections = {}
        self.restart_task = None
        self.running = 0

    @property
    def is_up(self):
        return self.server is not None

    async def start(self):
        # Bound but never listening: keeps the port from being given to another
        # process while the engine is down.
        self.reservation = self.bind_socket(0)
        self.port = self.reservation.getsockname()[1]
        await self.listen()

    @staticmethod
    def bind_socket(port):
        bound = socket.socket()
        bound.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        bound.bind(("127.0.0.1", port))
        return bound

    async def listen(self):
        self.born = time.time_ns() // 1_000_000
        self.server = await asyncio.start_server(
            self.serve, sock=self.bind_socket(self.port))
        self.store.put("servers", self.id, {
            "service": SERVICE, "address": f"127.0.0.1:{self.port}",
            "zone": self.zone, "version": "v1", "slots": SLOTS,
            "state": "ready", "coldLeftMs": 0, "stage": "both",
            "models": self.models(), "born": self.born, "sequence": 1})

    @staticmethod
    def models():
        return [{"name": MODEL, "version": 1, "adapters": []}]

    def stop(self):
        if self.restart_task:
            self.restart_task.cancel()
        self.close()
        self.reservation.close()

    def close(self):
        if self.server:
            self.server.close()
        self.server = None
        for writer, task in self.connections.items():
            writer.get_extra_info("socket").setsockopt(
                socket.SOL_SOCKET, socket.SO_LINGER, RESET_LINGER)
            writer.transport.abort()
            if task is not asyncio.current_task():
                task.cancel()
        self.connections = {}

    def crash(self, part=None):
        if not self.is_up:
            return
        self.journal.crashes.append(
            Crash(self.id, time.monotonic(), part, self.running))
        self.close()
        self.restart_task = asyncio.create_task(self.restart())

    async def restart(self):
        await asyncio.sleep(self.rng.uniform(*RESTART_S))
        self.store.delete("servers", self.id)
        self.generation += 1
        keeps_id = self.rng.random() < 0.5
        if not keeps_id:
            self.id = f"{self.name}-{self.generation}"
        await self.listen()

    async def serve(self, reader, writer):
        self.connections[writer] = asyncio.current_task()
        try:
            while message := await read_message(reader):
                await self.answer(message, writer)
        except (ConnectionError, asyncio.IncompleteReadError,
                asyncio.CancelledError):
            pass  # The gateway or the test has ended, or the engine crashed.
        finally:
            self.connections.pop(writer, None)
            writer.close()

    async def answer(self, message, writer):
        line, headers, _ = message
        path = line.split(" ")[1].partition("?")[0]
        if headers.get("x-expect-instance", self.id) != self.id:
            await self.reply(writer, 421, {})
        elif path == "/report":
            await self.reply(writer, 200, self.report())
        elif path == "/health":
            await self.reply(writer, 200, {})
        elif "x-prompt-prefix" not in headers:
            await self.reply(writer, 404, {})
        elif headers.get("x-expect-version", "1") != "1":
            await self.reply(writer, 421, {})
        else:
            await self.run(headers, writer)

    def report(self):
        return {"stage": "both", "models": self.models(), "busy": False,
                "sequence": 1, "waiting": 0, "running": self.running,
                "kvUsed": 0, "kvTotal": KV_CAPACITY, "handles": 0,
                "born": self.born}

    async def reply(self, writer, status, body):
        text = json.dumps(body).encode()
        writer.write(
            (f"HTTP/1.1 {status} S\r\nX-Instance-Id: {self.id}\r\n"
             "Content-Type: application/json\r\n"
             f"Content-Length: {len(text)}\r\n\r\n").encode() + text)
        await writer.drain()

    async def run(self, headers, writer):
        arrival = Arrival(headers["x-attempt-id"], self.id, time.monotonic(),
                          prompt_parts(headers))
        self.journal.arrivals.append(arrival)
        self.running += 1
        try:
            await asyncio.sleep(FIRST_EVENT_S)
            cause = next((part for part in arrival.parts
                          if part in self.crashing_parts), None)
            if cause:
                self.crash(cause)
                raise ConnectionError("the engine crashed")
            arrival.began = True
            await self.stream(arrival, headers, writer)
        finally:
            self.running -= 1

    async def stream(self, arrival, headers, writer):
        writer.write((f"HTTP/1.1 200 OK\r\nX-Attempt-Id: {arrival.attempt_id}"
                      f"\r\nX-Server-Stamp: {self.id}\r\n"
                      "X-Weight-Versions: 1\r\n"
                      "Content-Type: text/event-stream\r\n" +
                      ("Transfer-Encoding: chunked\r\n\r\n" if self.framed
                       else "Connection: close\r\n\r\n")).encode())
        first = int(headers.get("last-event-id", 0)) + 1
        for number in range(first, EVENTS + 1):
            if number > first:
                await asyncio.sleep(EVENT_GAP_S)
            data = event(arrival.attempt_id, number)
            writer.write(chunk(data) if self.framed else data)
            await writer.drain()
        if not self.framed:
            raise ConnectionError("the stream ends with its connection")
        writer.write(b"0\r\n\r\n")
        await writer.drain()

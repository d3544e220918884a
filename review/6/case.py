"""An open connection to the store goes silent while a new version joins.

Four gateways in three zones as on the site, the store, and workers of one
service that write streams. One gateway's connection to the store that waits for
changes of the workers goes silent for good; all its other connections, and new
ones, work. Shortly after, workers of a second software version join. The
requesters of the zone that has two machines use these by turns; some lose their
connection in the middle of a stream and take it up at the other machine. With
TROUBLE=0, no connection goes silent.
"""

import asyncio
import os
import random
import re
import sys
import time

FOLDER = os.path.dirname(os.path.abspath(__file__))
ROOT = os.path.dirname(os.path.dirname(FOLDER))
os.environ["JUJUBEROCK_BUILD"] = os.path.join(ROOT, "target")
sys.path.insert(0, os.path.join(ROOT, "tools"))
sys.dont_write_bytecode = True

from gateway_standins import (GatewayProcess, PlatformStore,  # noqa: E402
                              ScriptedEndpoint)

TROUBLE = os.environ.get("TROUBLE", "1") != "0"
# The zone of each gateway. The requesters are those of the first zone.
ZONES = ["santa-lucia", "santa-lucia", "sauce", "tala"]
HOSTS = len(ZONES)
HOSTS_OF_REQUESTERS = 2
WORKERS_OF_EACH_VERSION = 2
HEARTBEAT_S = 1.2
EVENTS = 20
EVENT_GAP_S = 0.1
# A requester has this many events when it loses its connection.
EVENTS_BEFORE_BREAK = 3
STREAMS_PER_S = 60
# Share of the requesters that lose their connection in the middle of a stream.
BROKEN_SHARE = 0.5
SEED = 8
# Time from the silence to the registration of the new version.
JOIN_DELAY_S = 0.3
PLAY_S = 6.0
TIMEOUT_MS = 5000
# The rule allows two.
ALLOWED_JOINED = 2
KEY = "nu6wsjnbanfqasnmgkcu"
HEAD = (b"HTTP/1.1 200 OK\r\nX-Attempt-Id: {id}\r\nX-Server-Stamp: s.%s\r\n"
        b"Content-Type: text/event-stream\r\n"
        b"Transfer-Encoding: chunked\r\n\r\n")

# Those of a front machine of the site, as deploy/settings.json.template makes
# them.
SETTINGS = {"engines_check_fences": False, "revocation_bound_ms": 5000,
            "version_bound_ms": 8000, "endpoint_heartbeat_ms": 1200,
            "registration_lag_ms": 3000, "lease_ms": 3000,
            "stop_grace_ms": 8000, "retry_window_ms": 10000,
            "retry_ratio": 0.2, "retry_slack": 54, "assumed_hosts": 4,
            "memory_limit_mb": 390, "descriptor_limit": 6300}
CONFIG = {
    "version": 1,
    "services": [{"name": "asistente", "healthPath": "/health",
                  "maxConns": 300}],
    "tenants": [{"name": "jeye930", "apiKeys": [KEY]}],
    "limits": {"maxHeaderBytes": 16384, "maxBodyBytes": 4194304,
               "headerTimeoutMs": 3000, "idleTimeoutMs": 15000},
    "routes": [{"name": "grower-question", "host": "pule25.example",
                "service": "asistente", "pathPrefix": "/puxa400/",
                "priority": 0, "kind": "stream", "canResume": True,
                "timeoutMs": TIMEOUT_MS, "targetLatencyMs": 400,
                "gapAimMs": 300, "maxAttempts": 2}]}


class Store(PlatformStore):
    def __init__(self, record):
        super().__init__()
        self.record = record

    def put(self, kind, name, spec):
        if name.startswith("software."):
            self.record(f"store     {name} = {spec}")
        return super().put(kind, name, spec)


class Link:
    """The way of one gateway to the store: a proxy on loopback.

    silence_watch() makes the connection on which a watch of the workers waits
    silent for good: no byte passes any more, and it stays open.
    """

    def __init__(self, store):
        self.store = store
        self.watching = None
        self.silent = set()

    async def start(self):
        self.server = await asyncio.start_server(self.serve, "127.0.0.1", 0)
        self.address = "127.0.0.1:%d" % self.server.sockets[0].getsockname()[1]

    def silence_watch(self):
        if self.watching is None:
            return False
        self.silent.add(self.watching)
        return True

    async def serve(self, reader, writer):
        host, port = self.store.address.split(":")
        try:
            far_reader, far_writer = await asyncio.open_connection(host, port)
            await asyncio.gather(
                self.pump(reader, far_writer, writer, True),
                self.pump(far_reader, writer, writer, False))
        except (ConnectionError, asyncio.CancelledError):
            pass  # The gateway has ended, or the case has.
        finally:
            writer.close()

    async def pump(self, reader, writer, connection, is_request):
        while data := await reader.read(65536):
            if connection in self.silent:
                continue
            if is_request and data.startswith(b"GET /objects/servers?watch="):
                self.watching = connection
            elif not is_request and self.watching is connection:
                self.watching = None
            writer.write(data)
            await writer.drain()
        if connection in self.silent:
            return
        writer.close()


class Worker(ScriptedEndpoint):
    def __init__(self, name, version, zone, record):
        super().__init__(self.steps)
        self.name = name
        self.version = version
        self.zone = zone
        self.record = record

    def steps(self, request):
        headers = request["headers"]
        first = int(headers.get("last-event-id", 0)) + 1
        self.record(f"ran       {request['id']} on {self.name}, version "
                    f"{self.version}, from event {first}"
                    f"{', resumes ' + headers['resumes'] if 'resumes' in headers else ''}")
        steps = [("send", HEAD % self.version.encode())]
        for number in range(first, EVENTS + 1):
            text = b"id: %d\ndata: %s\n\n" % (number, self.version.encode())
            steps += [("send", b"%x\r\n%s\r\n" % (len(text), text)),
                      ("pause", EVENT_GAP_S)]
        return steps + [("send", b"0\r\n\r\n")]


class Stream:
    """A stream as its requester sees it, over two attempts."""

    def __init__(self, number, record):
        self.name = f"{number:015x}"
        self.record = record
        self.events = []
        self.statuses = []

    async def attempt(self, port, last=None, limit=None):
        name = f"{self.name}{len(self.statuses)}"
        lines = ["POST /puxa400/1 HTTP/1.1", "Host: pule25.example",
                 f"X-Attempt-Id: {name}", f"X-Key: {KEY}",
                 f"X-Deadline-Remaining: {TIMEOUT_MS}", "Content-Length: 0"]
        if last:
            lines += [f"Last-Event-Id: {last}", f"Resumes: {self.name}0"]
        self.statuses.append(None)
        writer = None
        try:
            reader, writer = await asyncio.open_connection("127.0.0.1", port)
            writer.write("\r\n".join(lines).encode() + b"\r\n\r\n")
            status = await reader.readline()
            self.statuses[-1] = int(status.split()[1])
            if self.statuses[-1] == 200:
                await self.read(reader, limit)
        except (ConnectionError, IndexError, asyncio.IncompleteReadError):
            pass
        finally:
            if writer:
                writer.transport.abort()
        self.record(f"answered  {name} {self.statuses[-1]}, events "
                    f"{' '.join(f'{i}:{v}' for i, v in self.events)}")

    async def read(self, reader, limit):
        text = b""
        seen = len(self.events)
        while data := await reader.read(4096):
            text += data
            found = re.findall(rb"id: (\d+)\ndata: (\w+)\n\n", text)
            self.events[seen:] = [(int(i), v.decode()) for i, v in found]
            if limit and len(found) >= limit:
                return
            if text.endswith(b"0\r\n\r\n"):
                return

    def is_joined(self):
        return len({version for _, version in self.events}) > 1


class Scene:
    def __init__(self, record):
        self.record = record
        self.store = Store(record)
        self.links = [Link(self.store) for _ in range(HOSTS)]
        self.gateways = []
        self.workers = []
        self.streams = []
        self.is_over = False
        self.chance = random.Random(SEED)

    async def join(self, version):
        for i in range(WORKERS_OF_EACH_VERSION):
            worker = Worker(f"i-{version}-{i}", version, ZONES[i + 1],
                            self.record)
            await worker.start()
            self.workers.append(worker)
            self.report(worker, 1)
            self.record(f"joined    {worker.name}")

    def report(self, worker, sequence):
        self.store.put("servers", worker.name, {
            "service": "asistente", "address": worker.address,
            "zone": worker.zone, "version": worker.version, "slots": 48,
            "state": "ready", "coldLeftMs": 0, "born": 1000,
            "sequence": sequence})

    async def send_heartbeats(self):
        sequence = 1
        while not self.is_over:
            await asyncio.sleep(HEARTBEAT_S)
            sequence += 1
            for worker in self.workers:
                self.report(worker, sequence)

    async def send_streams(self):
        tasks = []
        number = 0
        while not self.is_over:
            number += 1
            stream = Stream(number, self.record)
            self.streams.append(stream)
            tasks.append(asyncio.create_task(self.play_stream(stream, number)))
            await asyncio.sleep(1 / STREAMS_PER_S)
        await asyncio.gather(*tasks)

    async def play_stream(self, stream, number):
        """Some requesters lose their connection and go to the other machine."""
        first = number % HOSTS_OF_REQUESTERS
        breaks = self.chance.random() < BROKEN_SHARE
        await stream.attempt(self.gateways[first].caller_port,
                             limit=EVENTS_BEFORE_BREAK if breaks else None)
        if not breaks or not stream.events:
            return
        await asyncio.sleep(0.02)
        await stream.attempt(
            self.gateways[1 - first].caller_port,
            last=stream.events[-1][0])

    async def play(self):
        await self.store.start()
        await self.join("va")
        heartbeats = asyncio.create_task(self.send_heartbeats())
        self.store.put("config", "main", CONFIG)
        for i, link in enumerate(self.links):
            await link.start()
            gateway = GatewayProcess(self.store, f"host-{i}", **SETTINGS,
                                     zone=ZONES[i],
                                     platform_address=link.address)
            gateway.start()
            self.gateways.append(gateway)
        for gateway in self.gateways:
            await gateway.await_ready()
        # Until va is agreed on and has been alone for the longest stream.
        await asyncio.sleep(TIMEOUT_MS / 1000 + 2)
        sender = asyncio.create_task(self.send_streams())
        await asyncio.sleep(1.0)
        while TROUBLE and not self.links[0].silence_watch():
            await asyncio.sleep(0.01)
        self.record("silent    the watch of host-0" if TROUBLE else "calm")
        await asyncio.sleep(JOIN_DELAY_S)
        await self.join("vb")
        await asyncio.sleep(PLAY_S)
        self.is_over = True
        await asyncio.gather(sender, heartbeats)

    def stop(self):
        for gateway in self.gateways:
            gateway.kill()


async def play(record):
    scene = Scene(record)
    try:
        await scene.play()
    finally:
        scene.stop()
    return scene


def main():
    began = time.monotonic()
    with open(os.path.join(FOLDER, "record.txt"), "w") as out:
        def record(text):
            out.write(f"{time.monotonic() - began:8.3f} {text}\n")

        try:
            scene = asyncio.run(asyncio.wait_for(play(record), 100))
        except (AssertionError, OSError, asyncio.TimeoutError) as error:
            record(f"could not run: {error!r}")
            print(f"could not run: {error!r}")
            return 2
        begun = [s for s in scene.streams if s.events]
        gone_on = [s for s in begun if len(s.statuses) > 1
                   and s.statuses[1] == 200]
        joined = [s for s in begun if s.is_joined()]
        verdict = (f"{len(begun)} streams begun, {len(gone_on)} taken up and "
                   f"gone on, {len(joined)} joined from two versions")
        record(verdict)
    print(verdict)
    if len(gone_on) < 50:
        return 2
    return 1 if len(joined) > ALLOWED_JOINED else 0


if __name__ == "__main__":
    sys.exit(main())

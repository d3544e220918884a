"""Stand-ins of the users' platform for tests of `jujuberock gateway`.

PlatformStore is the metadata store; ScriptedEndpoint is a server that answers
each request with the steps of a script, down to single bytes. Both run on the
asyncio loop of the test. Everything listens on loopback.
"""

import asyncio
import copy
import json
import os
import signal
import socket
import struct
import subprocess
import tempfile
import time

ROOT = os.path.dirname(os.path.dirname(os.path.abspath(__file__)))
# JUJUBEROCK_BUILD names another build folder, also for comparisons.
GATEWAY = os.path.join(
    os.environ.get("JUJUBEROCK_BUILD") or os.path.join(ROOT, "build"),
    "source/jujuberock/jujuberock")
# A script that sends without end stops by itself after this much, so that a
# gateway that reads on fails its test instead of filling the machine.
ENDLESS_BYTES = 64 << 20
ENDLESS_S = 8


def known_red(command):
    """The texts after `command` in KNOWN-RED.txt, which select known failures."""
    with open(os.path.join(ROOT, "KNOWN-RED.txt")) as entries:
        return [line.split("|")[0].removeprefix(command).strip()
                for line in entries if line.startswith(command)]


async def read_message(reader, with_body=True):
    """Reads an HTTP/1.1 message with a declared length, or None at the end."""
    try:
        head = await reader.readuntil(b"\r\n\r\n")
    except (asyncio.IncompleteReadError, ConnectionError):
        return None
    lines = head.decode("latin-1").split("\r\n")
    headers = {}
    for line in lines[1:]:
        name, _, value = line.partition(":")
        headers[name.lower()] = value.strip()
    length = int(headers.get("content-length", 0)) if with_body else 0
    return lines[0], headers, await reader.readexactly(length)


class PlatformStore:
    """The platform's store: lists, watches and conditional writes.

    restore() brings it back from a copy(): revisions are given out again, and
    the era, which all answers state, rises.
    """

    def __init__(self):
        self.era = 1
        self.watching = set()
        self.revision = 1
        self.kinds = {}
        self.events = []
        self.changed = asyncio.Event()
        self.away = False

    async def start(self):
        self.server = await asyncio.start_server(self.serve, "127.0.0.1", 0)
        self.address = "127.0.0.1:%d" % self.server.sockets[0].getsockname()[1]

    def put(self, kind, name, spec):
        self.revision += 1
        known = self.kinds.setdefault(kind, {})
        created = known[name]["metadata"]["createRev"] if name in known \
            else self.revision
        known[name] = {"metadata": {"name": name, "rev": self.revision,
                                    "createRev": created, "finalizers": [],
                                    "deleting": False},
                       "spec": spec, "status": {}}
        self.publish(kind, known[name], False)
        return known[name]

    def delete(self, kind, name):
        self.revision += 1
        gone = self.kinds[kind].pop(name)
        gone["metadata"]["rev"] = self.revision
        self.publish(kind, gone, True)

    def copy(self):
        return copy.deepcopy((self.revision, self.kinds, self.events))

    def restore(self, saved):
        self.revision, self.kinds, self.events = copy.deepcopy(saved)
        self.era += 1

    def leave(self):
        """Is away until `away` is reset; waiting watches are cut off."""
        self.away = True
        for writer in self.watching:
            writer.transport.abort()

    def publish(self, kind, item, deleted):
        self.events.append((self.revision, kind, item, deleted))
        self.changed.set()
        self.changed = asyncio.Event()

    async def serve(self, reader, writer):
        try:
            while message := await read_message(reader):
                if self.away:
                    break
                self.watching.add(writer)
                status, body = await self.answer(*message)
                self.watching.discard(writer)
                text = self.encode(body)
                head = ("HTTP/1.1 %d OK\r\nContent-Length: %d\r\n"
                        "Store-Era: %d\r\n\r\n")
                writer.write((head % (status, len(text), self.era)).encode()
                             + text)
                await writer.drain()
        except (ConnectionError, asyncio.CancelledError):
            pass  # The gateway has ended, or the test has.
        self.watching.discard(writer)
        writer.close()

    def encode(self, body):
        return json.dumps(body).encode()

    async def answer(self, line, _headers, body):
        method, target, _ = line.split(" ")
        path, _, query = target.partition("?")
        options = dict(item.split("=") for item in query.split("&") if item)
        kind, _, name = path.removeprefix("/objects/").partition("/")
        items = self.kinds.setdefault(kind, {})
        if method == "GET" and "watch" in options:
            if int(options["watch"]) > self.revision:
                return 410, {}
            return 200, await self.watch(kind, int(options["watch"]),
                                         int(options["waitMs"]) / 1000)
        if method == "GET" and name:
            return (200, items[name]) if name in items else (404, {})
        if method == "GET":
            return 200, {"items": list(items.values()), "more": False,
                         "storeRevision": self.revision}
        sent = json.loads(body)
        name = name or sent["metadata"]["name"]
        expected = sent["metadata"].get("rev")
        known = items.get(name)
        if method == "PUT" and not known:
            return 404, {}
        if (method == "POST" and known) or (
                expected and known and known["metadata"]["rev"] != expected):
            return 409, known
        return 200, self.put(kind, name, sent["spec"])

    async def watch(self, kind, since, wait_s):
        deadline = time.monotonic() + wait_s
        while True:
            found = [{"object": item, "deleted": deleted}
                     for revision, of, item, deleted in self.events
                     if of == kind and revision > since]
            left = deadline - time.monotonic()
            if found or left <= 0 or self.away:
                return {"events": found, "storeRevision": self.revision}
            try:
                await asyncio.wait_for(self.changed.wait(), left)
            except asyncio.TimeoutError:
                pass


class StoreLink:
    """The way of one gateway to the store: a proxy on loopback.

    While `is_cut`, no byte passes and no connection is closed; answers take
    `delay_s` longer. After refuse(), the store resets this gateway's
    connections and serves the others, until `is_refused` is cleared.
    silence_watch() makes the connection on which a kind is
    watched silent for good, while new ones work.
    """

    def __init__(self, store):
        self.store = store
        self.is_cut = False
        self.is_refused = False
        self.open = set()
        self.delay_s = 0.0
        # Connections on which a watch waits, by kind, and those that are silent.
        self.watching = {}
        self.silent = set()

    async def start(self):
        self.server = await asyncio.start_server(self.serve, "127.0.0.1", 0)
        self.address = "127.0.0.1:%d" % self.server.sockets[0].getsockname()[1]

    def refuse(self):
        self.is_refused = True
        for writer in self.open:
            writer.transport.abort()

    async def silence_watch(self, kind):
        while kind not in self.watching:
            await asyncio.sleep(0.005)
        self.silent.add(self.watching[kind])

    async def serve(self, reader, writer):
        if self.is_refused:
            writer.transport.abort()
            return
        self.open.add(writer)
        host, port = self.store.address.split(":")
        try:
            far_reader, far_writer = await asyncio.open_connection(host, port)
            await asyncio.gather(
                self.pump(reader, far_writer, 0.0, writer, self.on_request),
                self.pump(far_reader, writer, None, writer, self.on_answer))
        except (ConnectionError, asyncio.CancelledError):
            pass  # The gateway has ended, or the test has.
        finally:
            self.open.discard(writer)
            writer.close()

    def on_request(self, data, connection):
        method, _, target = data.partition(b" ")
        kind = target.partition(b"?watch=")[0].removeprefix(b"/objects/")
        if method == b"GET" and b"?watch=" in data[:200]:
            self.watching[kind.decode()] = connection

    def on_answer(self, _data, connection):
        self.watching = {kind: other for kind, other in self.watching.items()
                         if other is not connection}

    async def pump(self, reader, writer, delay_s, connection, notice):
        while data := await reader.read(65536):
            await asyncio.sleep(self.delay_s if delay_s is None else delay_s)
            while self.is_cut:
                await asyncio.sleep(0.01)
            if connection in self.silent:
                continue
            notice(data, connection)
            writer.write(data)
            await writer.drain()
        if connection not in self.silent:
            writer.close()


class ScriptedEndpoint:
    """Answers each request with the steps that `script(request)` returns.

    A step is ("send", bytes), ("endless", bytes, pause_s), ("pause", s),
    ("reset",), ("close",), ("end",) or ("await_close", s). "end" closes all
    connections in order and the port until start() is called again. In bytes, `{id}` stands for
    the id of the request's attempt and `{former}` for that of the request
    before it on the connection. A request's "carried" has the ids of all that
    came before it on its connection.
    """

    def __init__(self, script):
        self.script = script
        self.requests = []
        self.closed_by_peer = {}
        self.writers = set()
        self.port = 0

    async def start(self):
        self.server = await asyncio.start_server(self.serve, "127.0.0.1",
                                                 self.port)
        self.port = self.server.sockets[0].getsockname()[1]
        self.address = "127.0.0.1:%d" % self.port

    async def receive(self, reader):
        return await read_message(reader)

    async def serve(self, reader, writer):
        former = ""
        carried = set()
        self.writers.add(writer)
        try:
            while message := await self.receive(reader):
                line, headers, body = message
                request = {"former": former, "carried": frozenset(carried),
                           "path": line.split(" ")[1], "headers": headers,
                           "id": headers.get("x-attempt-id", ""), "body": body,
                           "at": time.monotonic()}
                self.requests.append(request)
                former = request["id"]
                carried.add(former)
                for step in self.script(request):
                    await self.perform(step, request, reader, writer)
        except (ConnectionError, asyncio.IncompleteReadError,
                asyncio.CancelledError):
            pass  # The gateway has ended, or the test has.
        finally:
            self.writers.discard(writer)
            writer.close()

    async def perform(self, step, request, reader, writer):
        kind = step[0]
        if kind == "send":
            writer.write(step[1]
                         .replace(b"{id}", request["id"].encode())
                         .replace(b"{former}", request["former"].encode()))
            await writer.drain()
        elif kind == "endless":
            await self.send_endlessly(step[1], step[2], request, writer)
        elif kind == "pause":
            await asyncio.sleep(step[1])
        elif kind == "await_close":
            try:
                await asyncio.wait_for(reader.read(1), step[1])
                self.closed_by_peer[request["id"]] = time.monotonic()
            except asyncio.TimeoutError:
                pass
        elif kind == "reset":
            linger = struct.pack("ii", 1, 0)
            writer.get_extra_info("socket").setsockopt(
                socket.SOL_SOCKET, socket.SO_LINGER, linger)
            writer.transport.abort()
            raise ConnectionError("reset by the script")
        elif kind == "end":
            self.server.close()
            for other in list(self.writers):
                other.close()
            raise ConnectionError("ended by the script")
        elif kind == "close":
            raise ConnectionError("closed by the script")

    async def send_endlessly(self, data, pause_s, request, writer):
        sent = 0
        end = time.monotonic() + ENDLESS_S
        try:
            while sent < ENDLESS_BYTES and time.monotonic() < end:
                writer.write(data)
                sent += len(data)
                await asyncio.wait_for(writer.drain(),
                                       max(0.01, end - time.monotonic()))
                await asyncio.sleep(pause_s)
        except asyncio.TimeoutError:
            return
        except ConnectionError:
            self.closed_by_peer[request["id"]] = time.monotonic()
            raise


class GatewayProcess:
    """One `jujuberock gateway` process on loopback."""

    def __init__(self, store, name="host-1", **settings):
        self.store = store
        self.name = name
        self.settings = settings
        self.folder = tempfile.mkdtemp(prefix="gateway-test-")
        self.caller_port = free_port()
        self.ready_port = free_port()
        self.process = None

    def start(self):
        settings = {"host_name": self.name, "zone": "z",
                    "caller_address": f"127.0.0.1:{self.caller_port}",
                    "ready_address": f"127.0.0.1:{self.ready_port}",
                    "platform_address": self.store.address,
                    "retry_slack": 1000, "assumed_hosts": 1, **self.settings}
        path = os.path.join(self.folder, "settings.json")
        with open(path, "w") as out:
            json.dump(settings, out)
        self.log_path = os.path.join(self.folder, "log")
        with open(self.log_path, "ab") as log:
            self.process = subprocess.Popen(
                [GATEWAY, "gateway", "--config", path],
                stdout=log, stderr=log, stdin=subprocess.DEVNULL)

    async def await_ready(self, limit_s=10):
        end = time.monotonic() + limit_s
        while time.monotonic() < end:
            try:
                reader, writer = await asyncio.open_connection(
                    "127.0.0.1", self.ready_port)
                writer.write(b"GET /readiness HTTP/1.1\r\nHost: r\r\n\r\n")
                line = await reader.readline()
                writer.close()
                if b" 200 " in line:
                    return
            except ConnectionError:
                pass
            await asyncio.sleep(0.05)
        raise AssertionError("the gateway did not become ready")

    def suspend(self):
        self.process.send_signal(signal.SIGSTOP)

    def resume(self):
        self.process.send_signal(signal.SIGCONT)

    def terminate(self):
        self.process.send_signal(signal.SIGTERM)

    async def wait(self, limit_s):
        end = time.monotonic() + limit_s
        while self.process.poll() is None and time.monotonic() < end:
            await asyncio.sleep(0.02)
        return self.process.poll()

    def kill(self):
        if self.process and self.process.poll() is None:
            self.process.kill()
            self.process.wait()

    def memory_kb(self):
        with open(f"/proc/{self.process.pid}/status") as status:
            for line in status:
                if line.startswith("VmRSS:"):
                    return int(line.split()[1])
        return 0

    def descriptors(self):
        return len(os.listdir(f"/proc/{self.process.pid}/fd"))

    def log_lines(self, request_id):
        lines = []
        with open(self.log_path, errors="replace") as log:
            for text in log:
                if f'"{request_id}"' in text:
                    lines.append(json.loads(text[text.index("{"):]))
        return lines


# Sockets that keep the ports of free_port() until this process ends.
_port_holders = []


def free_port(kind=socket.SOCK_STREAM):
    """Returns a port that the kernel gives to nobody else.

    Gateways bind their ports with SO_REUSEPORT, so two listeners that get the
    same port would share its connections without an error. The holder of a
    stream port stays bound without listening, which takes no connections. A
    datagram port can't be held, since its holder would take datagrams.
    """
    holder = socket.socket(type=kind)
    if kind == socket.SOCK_STREAM:
        holder.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEPORT, 1)
    holder.bind(("127.0.0.1", 0))
    port = holder.getsockname()[1]
    if kind == socket.SOCK_STREAM:
        _port_holders.append(holder)
    else:
        holder.close()
    return port


def free_peer_port():
    """Returns a port on which a gateway can take both streams and datagrams."""
    while True:
        port = free_port()
        with socket.socket(type=socket.SOCK_DGRAM) as datagrams:
            try:
                datagrams.bind(("127.0.0.1", port))
                return port
            except OSError:
                continue


class Answer:
    """What a caller saw: a whole answer, a cut one, or none."""

    def __init__(self):
        self.status = None
        self.headers = {}
        self.body = b""
        self.whole = False
        self.took_s = 0.0


async def ask(port, path, attempt_id, host="h", key=None, body=b"",
              limit_s=12, method="POST", extra=(), connection=None,
              half_close_s=None):
    """Sends one request and reads its answer to the end of its framing.

    With `half_close_s`, the sending side is shut that long after the request.
    """
    answer = Answer()
    began = time.monotonic()
    writer = None
    try:
        reader, writer = connection or await asyncio.open_connection(
            "127.0.0.1", port)
        lines = [f"{method} {path} HTTP/1.1", f"Host: {host}",
                 f"X-Attempt-Id: {attempt_id}",
                 f"Content-Length: {len(body)}", *extra]
        if key:
            lines.append(f"X-Key: {key}")
        writer.write("\r\n".join(lines).encode() + b"\r\n\r\n" + body)
        if half_close_s is not None:
            await asyncio.sleep(half_close_s)
            writer.write_eof()
        await asyncio.wait_for(read_answer(reader, answer), limit_s)
    except (ConnectionError, asyncio.TimeoutError,
            asyncio.IncompleteReadError):
        pass
    finally:
        if writer and not connection:
            writer.close()
    answer.took_s = time.monotonic() - began
    return answer


async def read_answer(reader, answer):
    head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1")
    lines = head.split("\r\n")
    answer.status = int(lines[0].split(" ")[1])
    for line in lines[1:]:
        name, _, value = line.partition(":")
        answer.headers[name.lower()] = value.strip()
    if "content-length" in answer.headers:
        length = int(answer.headers["content-length"])
        answer.body = await reader.readexactly(length)
        answer.whole = True
        return
    while True:
        size = int((await reader.readuntil(b"\r\n"))[:-2], 16)
        answer.body += await reader.readexactly(size)
        await reader.readexactly(2)
        if size == 0:
            answer.whole = True
            return

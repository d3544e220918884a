"""A machine that is cut off from the store takes up streams of another version.

The rule: no more than two streams may hold events from workers of two software
versions of one service, in one answer or over a requester's tries.
"""

import asyncio
import os
import re
import time

from case_tools import SETTINGS, CutProxy, has_trouble, run_case
from gateway_standins import (GatewayProcess, PlatformStore, ScriptedEndpoint,
                              ask)

HEAD = (b"HTTP/1.1 200 OK\r\nX-Attempt-Id: {id}\r\nX-Server-Stamp: s\r\n"
        b"Content-Type: text/event-stream\r\n"
        b"Transfer-Encoding: chunked\r\n\r\n")
EVENTS = 20
EVENT_PAUSE_S = 0.1
STREAMS = 32
BUDGET_S = 5.0
LIMIT = 2
# The most that the sheet of the site lets `core_cut` last.
CUT_S = 5.5
KEY = "nu6wsjnbanfqasnmgkcu"
CONFIG = {
    "version": 4, "limits": {},
    "tenants": [{"name": "t1", "apiKeys": [KEY]}],
    "services": [{"name": "s", "healthPath": "/health", "maxConns": 300}],
    "routes": [{"name": "r", "host": "h", "pathPrefix": "/r/", "service": "s",
                "kind": "stream", "timeoutMs": 5000, "targetLatencyMs": 600,
                "gapAimMs": 300, "maxAttempts": 2, "canResume": True}],
}


class Worker:
    def __init__(self, name, version):
        self.name = name
        self.version = version
        self.endpoint = ScriptedEndpoint(self.answer_to)

    def answer_to(self, request):
        first = int(request["headers"].get("last-event-id", "0")) + 1
        yield ("send", HEAD)
        for number in range(first, EVENTS + 1):
            text = b"id: %d\ndata: %s\n\n" % (number, self.version.encode())
            yield ("send", b"%x\r\n%s\r\n" % (len(text), text))
            yield ("pause", EVENT_PAUSE_S)
        yield ("send", b"0\r\n\r\n")

    async def register(self, store):
        await self.endpoint.start()
        store.put("servers", self.name, {
            "service": "s", "address": self.endpoint.address, "zone": "z",
            "version": self.version, "slots": 48, "state": "ready",
            "coldLeftMs": 0, "sequence": 0, "born": 1780000000000})

    def crash(self):
        self.endpoint.server.close()
        for writer in list(self.endpoint.writers):
            writer.transport.abort()


async def request_stream(record, name, gateways):
    """What a requester does: it takes a broken stream up at another machine."""
    events = []
    first_attempt = None
    deadline = time.monotonic() + BUDGET_S
    for number, (machine, gateway) in enumerate(gateways):
        attempt = f"{name}-{number}"
        left_ms = int(1000 * (deadline - time.monotonic()))
        extra = [f"X-Deadline-Remaining: {left_ms}"]
        if events:
            extra += [f"Last-Event-Id: {events[-1][0]}",
                      f"Resumes: {first_attempt}"]
        answer = await ask(gateway.caller_port, f"/r/{name}", attempt, key=KEY,
                           extra=extra)
        got = [(int(i), version.decode()) for i, version in
               re.findall(rb"id: (\d+)\ndata: (\w+)\n\n", answer.body)]
        if got and not events:
            first_attempt = attempt
        events += got
        record.add("%s at %s: %s, events %s, %s" % (
            attempt, machine, answer.status,
            ", ".join(f"{i}:{version}" for i, version in got) or "none",
            "whole" if answer.whole else "cut"))
        if answer.whole and answer.status == 200:
            break
    return events


async def body(record, processes):
    store = PlatformStore()
    await store.start()
    proxy = CutProxy(store.address)
    await proxy.start()
    old = [Worker(f"w{number}", "v1") for number in range(1, 4)]
    new = Worker("w4", "v2")
    for worker in old:
        await worker.register(store)
    store.put("config", "main", CONFIG)
    first = GatewayProcess(store, "front-1", **SETTINGS)
    second = GatewayProcess(store, "front-2", **dict(
        SETTINGS, platform_address=proxy.address))
    processes += [first, second]
    for gateway in processes:
        gateway.start()
    for gateway in processes:
        await gateway.await_ready()
    await asyncio.sleep(2)
    if has_trouble():
        proxy.cut()
        record.add("front-2 is partitioned from the store")
    await new.register(store)
    record.add("w4, the first worker of v2, has registered")
    await asyncio.sleep(0.6)
    machines = [("front-1", first), ("front-2", second)]
    streams = [asyncio.create_task(
        request_stream(record, f"s{number}", machines))
        for number in range(STREAMS)]
    record.add(f"{STREAMS} streams sent to front-1")
    await asyncio.sleep(0.5)
    new.crash()
    record.add("w4 crashes")
    asyncio.get_running_loop().call_later(CUT_S - 1.1, proxy.heal)
    mixed = 0
    for events in await asyncio.gather(*streams):
        mixed += len({version for _, version in events}) > 1
    record.add(f"{mixed} streams hold events of two versions, "
               f"{LIMIT} are allowed")
    return mixed <= LIMIT


run_case(os.path.dirname(os.path.abspath(__file__)), body)

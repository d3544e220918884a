"""A machine gets SIGTERM while it serves, and SIGHUP shortly after.

The rule: around planned work a request that was read and passed on gets its
whole answer. All requests here end long before the grace period does.
"""

import asyncio
import os
import signal

from case_tools import SETTINGS, has_trouble, run_case
from gateway_standins import (GatewayProcess, PlatformStore, ScriptedEndpoint,
                              ask)

HEAD = b"HTTP/1.1 200 OK\r\nX-Attempt-Id: {id}\r\nX-Server-Stamp: s\r\n"
CALL_WORK_S = 1.0
EVENTS = 20
EVENT_PAUSE_S = 0.1
REQUESTS_OF_EACH_KIND = 10
# From SIGTERM to SIGHUP.
RELOAD_AFTER_S = 0.3
GRACE_S = 8

CONFIG = {
    "version": 4, "tenants": [], "limits": {},
    "services": [{"name": "s", "healthPath": "/health", "maxConns": 300}],
    "routes": [
        {"name": "call", "host": "h", "pathPrefix": "/call/", "service": "s",
         "kind": "non_idempotent", "timeoutMs": 5000, "targetLatencyMs": 1500,
         "maxAttempts": 1},
        {"name": "stream", "host": "h", "pathPrefix": "/stream/",
         "service": "s", "kind": "stream", "timeoutMs": 15000,
         "targetLatencyMs": 400, "gapAimMs": 300, "maxAttempts": 1,
         "canResume": False},
    ],
}


def event(number):
    return b"id: %d\ndata: e%d\n\n" % (number, number)


def chunk(data):
    return b"%x\r\n%s\r\n" % (len(data), data)


def answer_to(request):
    if request["path"].startswith("/call/"):
        return [("pause", CALL_WORK_S),
                ("send", HEAD + b"Content-Length: 2\r\n\r\nok")]
    steps = [("send", HEAD + b"Content-Type: text/event-stream\r\n"
              b"Transfer-Encoding: chunked\r\n\r\n")]
    for number in range(1, EVENTS + 1):
        steps += [("send", chunk(event(number))), ("pause", EVENT_PAUSE_S)]
    return steps + [("send", b"0\r\n\r\n")]


async def body(record, processes):
    store = PlatformStore()
    await store.start()
    endpoints = []
    for number in range(3):
        endpoint = ScriptedEndpoint(answer_to)
        await endpoint.start()
        endpoints.append(endpoint)
        store.put("servers", f"i-{number}", {
            "service": "s", "address": endpoint.address, "zone": "z",
            "version": "v1", "slots": 48, "state": "ready", "coldLeftMs": 0,
            "sequence": 0, "born": 1780000000000 + number})
    store.put("config", "main", CONFIG)
    gateway = GatewayProcess(store, **SETTINGS)
    processes.append(gateway)
    gateway.start()
    await gateway.await_ready()
    asked = {}
    for number in range(REQUESTS_OF_EACH_KIND):
        for path in ("/call/", "/stream/"):
            attempt = f"{path.strip('/')}-{number}"
            asked[attempt] = asyncio.create_task(ask(
                gateway.caller_port, path + str(number), attempt,
                extra=("X-Deadline-Remaining: 5000",)))
            record.add(f"sent {attempt}")
    await asyncio.sleep(0.4)
    gateway.terminate()
    record.add("SIGTERM")
    if has_trouble():
        await asyncio.sleep(RELOAD_AFTER_S)
        gateway.process.send_signal(signal.SIGHUP)
        record.add("SIGHUP")
    held = True
    for attempt, task in asked.items():
        answer = await task
        ran = sum(request["id"] == attempt for endpoint in endpoints
                  for request in endpoint.requests)
        if answer.whole:
            outcome = f"{answer.status}, whole, {len(answer.body)} bytes"
        else:
            outcome = "connection closed %s" % (
                "in the middle of the answer" if answer.status else
                "without an answer")
            held = held and ran == 0
        record.add(f"{attempt}: ran {ran} times; caller got {outcome}, "
                   f"{answer.took_s:.2f} s after it was sent")
    code = await gateway.wait(GRACE_S + 1)
    record.add(f"the process ended with {code}")
    return held


run_case(os.path.dirname(os.path.abspath(__file__)), body)

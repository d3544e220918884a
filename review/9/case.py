"""A worker spoils a few of its answers: a wrong byte costs the signature.

One gateway, three workers of one service, an idempotent route with two
attempts. A spoiled answer is a 200 that names the attempt, with one wrong byte
in the name of the field X-Server-Stamp. No requester may get a success without
that field. With TROUBLE=0, the worker spoils nothing.
"""

import asyncio
import os
import random
import sys
import time

FOLDER = os.path.dirname(os.path.abspath(__file__))
ROOT = os.path.dirname(os.path.dirname(FOLDER))
os.environ["JUJUBEROCK_BUILD"] = os.path.join(ROOT, "target")
sys.path.insert(0, os.path.join(ROOT, "tools"))
sys.dont_write_bytecode = True

from gateway_standins import (GatewayProcess, PlatformStore,  # noqa: E402
                              ScriptedEndpoint, ask)

TROUBLE = os.environ.get("TROUBLE", "1") != "0"
WORKERS = 3
REQUESTS = 1500
AT_ONCE = 10
# The largest share of answers that the site files spoil (`garble`, x), at half
# of the workers or fewer.
SPOILED_SHARE = 0.05
SPOILING_WORKERS = 1
BODY = b"balance 4711"
SEED = 6

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
    "services": [{"name": "cajas-app", "healthPath": "/health",
                  "maxConns": 100}],
    "tenants": [{"name": "jeye930", "apiKeys": ["nu6wsjnbanfqasnmgkcu"]}],
    "limits": {"maxHeaderBytes": 16384, "maxBodyBytes": 4194304,
               "headerTimeoutMs": 3000, "idleTimeoutMs": 15000},
    "routes": [{"name": "balance-check", "host": "pule25.example",
                "service": "cajas-app", "pathPrefix": "/defi252/",
                "priority": 2, "kind": "idempotent", "timeoutMs": 1500,
                "targetLatencyMs": 100, "maxAttempts": 2}]}


class Worker(ScriptedEndpoint):
    """Answers each request with its signature, but for a few."""

    def __init__(self, number, record):
        super().__init__(self.steps)
        self.number = number
        self.record = record
        self.chance = random.Random(SEED + number)

    def spoil(self, field):
        """Replaces one letter of the field's name by another one."""
        place = self.chance.choice([2, 3, 4, 5, 6, 7, 9, 10, 11, 12, 13])
        letters = [c for c in b"abcdefghijklmnopqrstuvwxyz"
                   if c != field[place:place + 1].lower()[0]]
        return (field[:place] + bytes([self.chance.choice(letters)]) +
                field[place + 1:])

    def steps(self, request):
        is_spoiled = (TROUBLE and self.number < SPOILING_WORKERS and
                      self.chance.random() < SPOILED_SHARE)
        self.record(f"ran       {request['id']} worker {self.number}"
                    f"{', spoils the answer' if is_spoiled else ''}")
        stamp = b"X-Server-Stamp: 3e1b.07.5a2.600.0.%04d\r\n" % self.number
        if is_spoiled:
            stamp = self.spoil(stamp)
        return [("pause", 0.005),
                ("send", b"HTTP/1.1 200 OK\r\nX-Attempt-Id: {id}\r\n" + stamp +
                 b"Content-Length: %d\r\n\r\n" % len(BODY) + BODY)]


async def play(record):
    store = PlatformStore()
    await store.start()
    workers = [Worker(i, record) for i in range(WORKERS)]
    for i, worker in enumerate(workers):
        await worker.start()
        store.put("servers", f"i-7f3a91c{i}", {
            "service": "cajas-app", "address": worker.address, "zone": "z",
            "version": "1", "slots": 6, "state": "ready", "coldLeftMs": 0,
            "born": 1000, "sequence": 1})
    store.put("config", "main", CONFIG)
    gateway = GatewayProcess(store, **SETTINGS)
    gateway.start()
    try:
        await gateway.await_ready()
        await asyncio.sleep(1.0)
        return await send_all(gateway, record)
    finally:
        gateway.kill()


async def send_all(gateway, record):
    """Returns the number of successes, and of those without a signature."""
    counts = {"successes": 0, "unsigned": 0}

    async def caller(first):
        for number in range(first, REQUESTS, AT_ONCE):
            name = f"{number:016x}"
            answer = await ask(
                gateway.caller_port, f"/defi252/{number}", name,
                host="pule25.example", key="nu6wsjnbanfqasnmgkcu",
                method="GET", extra=("X-Deadline-Remaining: 1500",), limit_s=3)
            is_signed = "x-server-stamp" in answer.headers
            record(f"answered  {name} {answer.status}"
                   f"{'' if is_signed else ', no X-Server-Stamp'}")
            if answer.whole and 200 <= (answer.status or 0) < 300:
                counts["successes"] += 1
                counts["unsigned"] += not is_signed

    await asyncio.gather(*(caller(i) for i in range(AT_ONCE)))
    return counts


def main():
    began = time.monotonic()
    with open(os.path.join(FOLDER, "record.txt"), "w") as out:
        def record(text):
            out.write(f"{time.monotonic() - began:8.3f} {text}\n")

        try:
            counts = asyncio.run(asyncio.wait_for(play(record), 100))
        except (AssertionError, OSError, asyncio.TimeoutError) as error:
            record(f"could not run: {error!r}")
            print(f"could not run: {error!r}")
            return 2
        verdict = (f"{counts['successes']} successes, {counts['unsigned']} of "
                   "them without X-Server-Stamp")
        record(verdict)
    print(verdict)
    if counts["successes"] < REQUESTS // 2:
        return 2
    return 1 if counts["unsigned"] else 0


if __name__ == "__main__":
    sys.exit(main())

"""A part of a prompt crashes workers, and sound requests share its other parts.

The rule: from 2 x stableMs after the crashes, while requests with that part
still come, sound requests with the same first part must begin at the first
attempt at least half as often as before.

Two plays run beside each other, each with a store, workers and a machine of its
own: one with answers in chunks and few requests, one with answers that end with
their connection.
"""

import asyncio
import itertools
import os
import random
import time

import crashing_engine
from case_tools import SETTINGS, has_trouble, run_case
from crashing_engine import (KV_CAPACITY, MODEL, SERVICE, SLOTS,
                             CrashingEngine, EngineJournal, event)
from gateway_standins import GatewayProcess, PlatformStore, ask

ENGINES = 8
KEY = "nu6wsjnbanfqasnmgkcu"
FIRST_PART = "5c1e07a2"
CRASHING_PART = "bad0bad0"
STABLE_S = 3.0
COUNTED_CRASHES = 5
MIN_SAMPLE = 20


class UnframedEngine(CrashingEngine):
    """Streams without a length and without chunks, as workers may."""

    async def stream(self, arrival, headers, writer):
        writer.write((f"HTTP/1.1 200 OK\r\nX-Attempt-Id: {arrival.attempt_id}"
                      f"\r\nX-Server-Stamp: {self.id}\r\n"
                      "X-Weight-Versions: 1\r\n"
                      "Content-Type: text/event-stream\r\n"
                      "Connection: close\r\n\r\n").encode())
        first = int(headers.get("last-event-id", 0)) + 1
        for number in range(first, crashing_engine.EVENTS + 1):
            writer.write(event(arrival.attempt_id, number))
            await writer.drain()
            await asyncio.sleep(0.01)
        writer.close()


class Play:
    """A cycle of requests that comes again and again.

    In each cycle, `sound` requests are sent at its beginning, and requests with
    the crashing part at the times `crashing_at`, once these have begun to come.
    """

    def __init__(self, name, engine, cycle_s, sound, crashing_at, quiet_s,
                 crashing_s):
        self.name = name
        self.engine = engine
        self.cycle_s = cycle_s
        self.sound = sound
        self.crashing_at = crashing_at
        self.quiet_s = quiet_s
        self.crashing_s = crashing_s


PLAYS = [
    Play("chunks", CrashingEngine, 3.0, 4, (0.5, 1.05, 1.6), 17.0, 32.0),
    Play("unframed", UnframedEngine, 0.9, 3, (0.6,), 8.0, 26.0),
]


def config():
    return {
        "version": 4, "tenants": [{"name": "t1", "apiKeys": [KEY]}],
        "limits": {},
        "services": [{
            "name": SERVICE, "healthPath": "/health", "maxConns": 300,
            "engine": {"slots": SLOTS, "kvCapacity": KV_CAPACITY,
                       "kvTokenBytes": 131072, "linkMbps": 130000.0,
                       "models": [{"name": MODEL}]}}],
        "routes": [{
            "name": "r", "host": "h", "pathPrefix": "/r/", "service": SERVICE,
            "kind": "stream", "timeoutMs": 5000, "targetLatencyMs": 600,
            "gapAimMs": 300, "priority": 1, "sessionAffinity": True,
            "canResume": True, "maxAttempts": 2}]}


class Load:
    """Requests that share their first part; some hold the crashing part."""

    def __init__(self, record, play, gateway):
        self.record = record
        self.play = play
        self.gateway = gateway
        self.numbers = itertools.count(1)
        self.sent = {}
        self.tasks = []

    def send(self, crashing=False):
        number = next(self.numbers)
        attempt = f"{'crashing' if crashing else 'sound'}-{number}"
        parts = [(FIRST_PART, 800),
                 (CRASHING_PART if crashing else f"5e55{number % 5:04x}", 410),
                 (f"1a{number:06x}", 60)]
        self.sent[attempt] = time.monotonic()
        self.tasks.append(asyncio.create_task(self.call(attempt, parts)))

    async def call(self, attempt, parts):
        prefix = ",".join(f"{name}:{tokens}" for name, tokens in parts)
        tokens = sum(tokens for _, tokens in parts)
        answer = await ask(self.gateway.caller_port, "/r/1", attempt, key=KEY,
                           body=b"prompt " + attempt.encode(), extra=(
                               f"X-Model: {MODEL}",
                               f"X-Token-Count: {tokens},10",
                               f"X-Prompt-Prefix: {prefix}",
                               "X-Deadline-Remaining: 5000"))
        self.record.add(f"{self.play.name}: {attempt}: caller got "
                        f"{answer.status}, "
                        f"{'whole' if answer.whole else 'cut'}")

    async def run(self, duration_s, with_crashing):
        until = time.monotonic() + duration_s
        while (began := time.monotonic()) < until:
            for _ in range(self.play.sound):
                self.send()
            for at_s in self.play.crashing_at if with_crashing else ():
                await asyncio.sleep(began + at_s - time.monotonic())
                self.send(crashing=True)
            await asyncio.sleep(began + self.play.cycle_s - time.monotonic())

    def count(self, journal, since, until):
        """Sound requests of the span, and those that began at a worker."""
        begun = {arrival.attempt_id for arrival in journal.arrivals
                 if arrival.began}
        sent = [attempt for attempt, at in self.sent.items()
                if attempt.startswith("sound") and since <= at < until]
        return len(sent), sum(attempt in begun for attempt in sent)


async def run_play(play, record, processes):
    store = PlatformStore()
    await store.start()
    journal = EngineJournal()
    crashing_parts = {CRASHING_PART} if has_trouble() else set()
    engines = [play.engine(f"i-{number}", "z", store, journal, crashing_parts,
                           random.Random(number)) for number in range(ENGINES)]
    for engine in engines:
        await engine.start()
    store.put("config", "main", config())
    gateway = GatewayProcess(store, f"front-{play.name}", **SETTINGS)
    processes.append(gateway)
    gateway.start()
    await gateway.await_ready()
    await asyncio.sleep(STABLE_S)
    load = Load(record, play, gateway)
    began = time.monotonic()
    await load.run(play.quiet_s, with_crashing=False)
    quiet_until = time.monotonic()
    record.add(f"{play.name}: requests with the crashing part begin to come")
    await load.run(play.crashing_s, with_crashing=True)
    ended = time.monotonic()
    await asyncio.gather(*load.tasks)
    crashes = journal.crashes_by(CRASHING_PART)
    reference = crashes[:COUNTED_CRASHES][-1] if crashes else quiet_until
    judged_from = reference + 2 * STABLE_S
    sent_before, begun_before = load.count(journal, began, quiet_until)
    sent_after, begun_after = load.count(journal, judged_from, ended)
    record.add(f"{play.name}: {len(crashes)} crashes; sound requests that began"
               f" at the first attempt: {begun_before} of {sent_before} before,"
               f" {begun_after} of {sent_after} from 6 s after the crashes on")
    for engine in engines:
        engine.stop()
    if min(sent_before, sent_after) < MIN_SAMPLE:
        raise RuntimeError("too few requests to judge")
    return begun_after / sent_after >= 0.5 * begun_before / sent_before


async def body(record, processes):
    held = await asyncio.gather(*(run_play(play, record, processes)
                                  for play in PLAYS))
    return all(held)


run_case(os.path.dirname(os.path.abspath(__file__)), body)

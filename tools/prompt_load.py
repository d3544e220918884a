"""A seeded load of prompts that share parts, sent to several gateways.

Each request has the first part of its route, a session part, a document part
and a last part of its own. Requests are drawn before the load starts; only
their times depend on the machine.
"""

import asyncio
import itertools
import random
import time
from dataclasses import dataclass

from crashing_engine import MODEL, whole_body
from gateway_standins import ask

REQUESTS_PER_S = 60
MAX_LOAD_S = 45
SESSIONS = 6
DOCUMENTS = 8
CALLER_LIMIT_S = 8
REPEAT_DELAY_S = 0.3


@dataclass
class Route:
    """A stream route; `id` distinguishes its parts from those of others."""
    name: str
    id: str
    max_attempts: int
    can_resume: bool


@dataclass
class CrashingPart:
    """A part that is added to this share of all requests, all of one route."""
    part: str
    route: Route
    share: float


@dataclass
class PromptRequest:
    """One attempt of a caller, with or without a crashing part."""
    attempt_id: str
    route: str
    gateway: int
    parts: list
    crashing_part: str | None
    is_first: bool = True
    sent_at: float = 0.0
    status: int | None = None
    served: bool = False

    def is_harmless_first(self):
        return not self.crashing_part and self.is_first

    def shared_parts(self):
        return [name for name, _ in self.parts[:-1]
                if name != self.crashing_part]


@dataclass
class Draw:
    """The random choices of one request."""
    number: int
    at_s: float
    gateway: int
    route: Route
    session: int
    document: int
    document_first: bool
    # Compared with the shares of the crashing parts.
    selection: float
    # Index in the prompt of a crashing part, if the request gets one.
    position: int

    def parts(self, route):
        session = (f"5e{self.session:02x}{route.id}", 200)
        document = (f"d0{self.document:04x}", 300)
        middle = ([document, session] if self.document_first
                  else [session, document])
        return [(f"f0{route.id}", 800), *middle, (f"1a{self.number:06x}", 60)]


class PromptLoad:
    """Sends requests to the gateways until it is stopped."""

    def __init__(self, seed, routes, gateways, key):
        self.rng = random.Random(seed)
        self.routes = routes
        self.gateways = gateways
        self.key = key
        self.crashing_parts = []
        self.requests = []
        self.attempt_ids = itertools.count(1)
        self.tasks = set()

    async def run(self):
        """Sends requests for MAX_LOAD_S or until it is canceled."""
        self.began_at = time.monotonic()
        for draw in self.draws():
            delay_s = self.began_at + draw.at_s - time.monotonic()
            if delay_s > 0:
                await asyncio.sleep(delay_s)
            task = asyncio.create_task(self.call(draw))
            self.tasks.add(task)
            task.add_done_callback(self.tasks.discard)

    async def finish(self):
        """Waits until all requests that were sent have ended."""
        while self.tasks:
            await asyncio.gather(*self.tasks)

    def draws(self):
        at_s = 0.0
        for number in itertools.count(1):
            at_s += self.rng.expovariate(REQUESTS_PER_S)
            if at_s > MAX_LOAD_S:
                return
            yield Draw(number, at_s, self.rng.randrange(len(self.gateways)),
                       self.rng.choice(self.routes),
                       self.rng.randrange(SESSIONS),
                       self.rng.randrange(DOCUMENTS),
                       self.rng.random() < 0.5, self.rng.random(),
                       self.rng.randrange(1, 4))

    async def call(self, draw):
        """Sends a request, and once more elsewhere if it may be repeated."""
        crashing = self.choose_crashing_part(draw)
        route = crashing.route if crashing else draw.route
        first = self.new_request(draw, route, crashing, draw.gateway)
        await self.send(first)
        if first.served or not (route.can_resume or first.status == 503):
            return
        await asyncio.sleep(REPEAT_DELAY_S)
        repeat = self.new_request(draw, route, crashing,
                                  (draw.gateway + 1) % len(self.gateways))
        repeat.is_first = False
        await self.send(repeat)

    def choose_crashing_part(self, draw):
        threshold = 0.0
        for candidate in self.crashing_parts:
            threshold += candidate.share
            if draw.selection < threshold:
                return candidate
        return None

    def new_request(self, draw, route, crashing, gateway):
        parts = draw.parts(route)
        if crashing:
            parts.insert(draw.position, (crashing.part, 400))
        request = PromptRequest(f"{next(self.attempt_ids):016x}", route.name,
                                gateway, parts,
                                crashing.part if crashing else None)
        self.requests.append(request)
        return request

    async def send(self, request):
        tokens = sum(count for _, count in request.parts)
        prefix = ",".join(f"{name}:{count}" for name, count in request.parts)
        headers = [f"X-Model: {MODEL}", f"X-Token-Count: {tokens},40",
                   f"X-Prompt-Prefix: {prefix}",
                   f"X-Deadline-Remaining: {CALLER_LIMIT_S * 1000}"]
        request.sent_at = time.monotonic()
        answer = await ask(self.gateways[request.gateway].caller_port,
                           f"/{request.route}/1", request.attempt_id,
                           key=self.key, body=prefix.encode(),
                           limit_s=CALLER_LIMIT_S, extra=headers)
        request.status = answer.status
        request.served = (answer.status == 200 and answer.whole and
                          answer.body == whole_body(request.attempt_id))

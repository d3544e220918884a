"""Traffic with a prompt part that crashes each engine that runs it.

Used by the phase crash_by_part of process-test.
"""

import http.client
import itertools
import threading
import time

from process_cluster import BLOCK_BYTES, Completion

DEADLY_PERIOD_S = 0.25
SOUND_THREADS = 4
SOUND_PERIOD_S = 0.1
WATCH_PERIOD_S = 0.02
# A crashed engine is back after this time.
RESTART_DELAY_S = 2.0
ANSWER_TOKENS = 8


def block(text):
    return (text + " ").ljust(BLOCK_BYTES, "-")


class PartCrashTraffic:
    """Sends sound prompts and, once start_deadly() was called, prompts with a
    deadly part to all hosts in turn. No two prompts are alike, and all share
    the team and the first block. Restarts the engines that crash."""

    def __init__(self, cluster, team, marker):
        self.cluster = cluster
        self.team = team
        self.marker = marker
        self.numbers = itertools.count()
        self.lock = threading.Lock()
        self.sound = []    # (start, whether it was answered, refusals)
        self.deadly = []
        self.crashes = []  # (time, name of the engine)
        self.deadly_started = threading.Event()
        self.stopping = threading.Event()
        self.threads = [threading.Thread(target=body, daemon=True)
                        for body in [self.watch_engines, self.send_deadly] +
                        [self.send_sound] * SOUND_THREADS]
        for thread in self.threads:
            thread.start()

    def start_deadly(self):
        self.deadly_started.set()

    def stop(self):
        self.stopping.set()
        self.deadly_started.set()
        for thread in self.threads:
            thread.join()

    def watch_engines(self):
        down_since = {}
        while not self.stopping.wait(WATCH_PERIOD_S):
            self.restart_engines(down_since)
        self.restart_engines(down_since, delay_s=0)

    def restart_engines(self, down_since, delay_s=RESTART_DELAY_S):
        now = time.monotonic()
        for name, engine in list(self.cluster.engines.items()):
            if engine.running():
                continue
            if name not in down_since:
                down_since[name] = now
                with self.lock:
                    self.crashes.append((now, name))
            if now - down_since[name] >= delay_s:
                self.cluster.start_engine(name, engine.zone)
                del down_since[name]

    def send_deadly(self):
        """Sends at a fixed rate; no request waits for the one before it."""
        senders = []
        self.deadly_started.wait()
        while not self.stopping.wait(DEADLY_PERIOD_S):
            prompt = (block("the common beginning") +
                      block("the deadly part " + self.marker))
            senders.append(threading.Thread(
                target=self.send, args=(prompt, self.deadly), daemon=True))
            senders[-1].start()
        for sender in senders:
            sender.join()

    def send_sound(self):
        while not self.stopping.wait(SOUND_PERIOD_S):
            prompt = block("the common beginning") + block("a sound part")
            self.send(prompt, self.sound)

    def send(self, prompt, results):
        """Sends one request and records its first attempt."""
        number = next(self.numbers)
        hosts = self.cluster.hosts
        job = Completion(self.cluster, None, self.team,
                         f"{prompt}question {number}", ANSWER_TOKENS)
        start = time.monotonic()
        try:
            job.attempt(hosts[number % len(hosts)], start)
        except (OSError, http.client.HTTPException) as error:
            job.refused.append((repr(error), None))
        with self.lock:
            results.append((start, job.right(), job.refused))

"""Runs the demo: the same load with and without restores from cache stores.

Conversations continue after their context was evicted, payments are made, and
one host is killed halfway through. Exits with 0 only if no guarantee was
violated.
"""

import random
import sys
import time

from process_cluster import (BLOCK_BYTES, CANELONES, Balancer, Cluster,
                             Completion, Payment, check_payments, percentile,
                             run_all)

SEED = 20261
CONVERSATIONS = 24
TURNS = 3
ANSWER_TOKENS = 24
THREADS = 12
PAYMENTS_PER_TURN = 24
FAULTS_SHOWN = 20
HOST_ZONES = ["santa-lucia", "santa-lucia", "sauce", "tala"]
# The prefix caches of all engines together are smaller than the context of all
# conversations, so that returning conversations find their context evicted.
ENGINE_FLAGS = ["--capacity_blocks=20", "--prefill_tokens_per_s=40000",
                "--decode_ms=4"]
STORE_FLAGS = ["--memory_bytes=16000000000", "--disk_bytes=64000000000",
               "--link_bytes_per_s=8000000000"]


class Conversation:
    def __init__(self, number, random_source, teams):
        self.name = f"conversation-{number}"
        self.team = teams[number % len(teams)]
        self.random = random_source
        self.prompt = f"{self.team} {self.name}: "
        self.extend(self.random.randint(5, 9) * BLOCK_BYTES)

    def extend(self, size):
        words = ["marea", "pan", "puente", "barco", "lluvia", "trigo"]
        target = len(self.prompt) + size
        while len(self.prompt) < target:
            self.prompt += self.random.choice(words) + " "


def start_turn(cluster, balancer, conversations, number, source):
    jobs = [Completion(cluster, balancer, c.team, c.prompt, ANSWER_TOKENS,
                       c.name) for c in conversations]
    teams = cluster.deployment["teams"]
    payments = [Payment(cluster, balancer, teams[i % len(teams)],
                        f"payment-{number}-{i}")
                for i in range(PAYMENTS_PER_TURN)]
    mixed = jobs + payments
    source.shuffle(mixed)
    return jobs, payments, mixed


class KillHost:
    """A job that kills the host."""

    def __init__(self, host):
        self.host = host

    def run(self):
        self.host.kill_when_busy()


def run_load(restore):
    source = random.Random(SEED)
    result = {"completions": [], "payments": [], "first_token_s": [],
              "faults": []}
    with Cluster(CANELONES, HOST_ZONES, engine_flags=ENGINE_FLAGS,
                 store_flags=STORE_FLAGS, host_settings={"restore": restore}) as cluster:
        balancer = Balancer(cluster, SEED)
        conversations = [Conversation(i, source, CANELONES["teams"])
                         for i in range(CONVERSATIONS)]
        before = None
        for turn in range(TURNS):
            jobs, payments, mixed = start_turn(
                cluster, balancer, conversations, turn, source)
            if turn == 1:
                before = cluster.engine_counts()
                mixed.insert(len(mixed) // 2, KillHost(cluster.hosts[0]))
            run_all(mixed, THREADS)
            result["completions"] += jobs
            result["payments"] += payments
            if turn > 0:
                result["first_token_s"] += [
                    j.first_token_s for j in jobs if j.first_token_s]
            for conversation, job in zip(conversations, jobs):
                conversation.prompt += job.text
                conversation.extend(400)
            # Leaves time for exports, which run in the background.
            time.sleep(2)
        counts = cluster.engine_counts()
        result["link_bytes"] = {
            name: cluster.store_counts().get(name, 0)
            for name in ("sent_bytes", "received_bytes")}
        result["faults"] += check_payments(
            result["payments"], cluster.executions())
        result["executions"] = cluster.executions()
        for name in ("prompt_tokens", "cached_tokens", "restored_tokens"):
            result[name] = counts[name] - before[name]
        for name in ("foreign_blocks", "bad_blocks", "evictions"):
            result[name] = counts[name]
        balancer.stop()
    check_answers(result)
    return result


def check_answers(result):
    for job in result["completions"]:
        if not job.done:
            result["faults"].append(
                f"incomplete response: {job.refused[-3:]} {job.broken[-3:]}")
        elif not job.right():
            result["faults"].append(f"wrong completion for {job.conversation}")
    for payment in result["payments"]:
        if "done" not in payment.answers and "unknown" not in payment.answers:
            result["faults"].append(f"{payment.key} has neither a response "
                                    f"nor outcome unknown: {payment.answers}")
    if result["foreign_blocks"]:
        result["faults"].append(f"{result['foreign_blocks']} cached blocks of "
                                "another team or version were requested")


def describe(title, result):
    prompt = max(1, result["prompt_tokens"])
    recomputed = prompt - result["cached_tokens"] - result["restored_tokens"]
    times = result["first_token_s"]
    doubled = sum(1 for n in result["executions"].values() if n > 1)
    resumed = sum(j.resumes for j in result["completions"])
    broken = sum(len(j.broken) for j in result["completions"])
    print(f"{title}:")
    print(f"  time to first token of returning prompts: median "
          f"{1e3 * percentile(times, 0.5):.0f} ms, 95th percentile "
          f"{1e3 * percentile(times, 0.95):.0f} ms ({len(times)} answers)")
    print(f"  context recomputed {recomputed / prompt:.1%}, restored from "
          f"stores {result['restored_tokens'] / prompt:.1%}, cached in engines "
          f"{result['cached_tokens'] / prompt:.1%}")
    print(f"  transferred: {result['link_bytes']['sent_bytes'] / 1e6:.0f} MB "
          f"from stores, {result['link_bytes']['received_bytes'] / 1e6:.0f} MB "
          "to stores")
    print(f"  complete and correct responses: "
          f"{sum(j.right() for j in result['completions'])} of "
          f"{len(result['completions'])}; {broken} connections broken by the "
          f"killed host, {resumed} streams resumed")
    print(f"  payments executed: {len(result['executions'])} of "
          f"{len(result['payments'])}; executed more than once: {doubled}")


def main():
    restored = run_load(True)
    baseline = run_load(False)
    describe("with restore", restored)
    describe("without restore", baseline)
    faults = restored["faults"] + baseline["faults"]
    if restored["restored_tokens"] == 0:
        faults.append("no context was restored from the stores")
    for fault in faults[:FAULTS_SHOWN]:
        print("VIOLATION: " + fault)
    if len(faults) > FAULTS_SHOWN:
        print(f"and {len(faults) - FAULTS_SHOWN} more")
    print("demo: " + ("FAILED" if faults else "no violations"))
    return 1 if faults else 0


if __name__ == "__main__":
    sys.exit(main())

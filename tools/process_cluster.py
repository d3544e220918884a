"""Runs a cluster of hosts and stand-ins as separate processes, with clients.

Used by process_demo.py, process-test, process-burn-test and bench-capacity.
Everything listens on loopback. Only processes started here are signalled, by
their process ids.
"""

import hashlib
import http.client
import json
import os
import random
import shutil
import signal
import socket
import subprocess
import sys
import tempfile
import threading
import time

ROOT = os.path.dirname(os.path.dirname(os.path.abspath(__file__)))
BLOCK_BYTES = 8000
DEPLOYMENT_KEY = "loopback-deployment-key"
TOKEN_TIMEOUT_S = 15
SERVICE_BAND = {"from": "00:00", "to": "24:00", "patience_ms": 10000,
                "max_queue": 1000}
# Production blocks have 64 MB, which is also the size that hosts assume in
# their estimates. Stand-ins transfer only this many bytes per block and account
# for the production size.
KV_BYTES_PER_BLOCK = 64 * 1024
BYTES_PER_BODY_BYTE = (64 << 20) // KV_BYTES_PER_BLOCK


def sha(text):
    if isinstance(text, str):
        text = text.encode()
    return hashlib.sha256(text).hexdigest()


def expected_answer(prompt, version, tokens):
    """Returns the expected completion; see source/standin/completion_text.h."""
    data = prompt.encode()
    whole = len(data) // BLOCK_BYTES * BLOCK_BYTES
    digests = "".join(
        sha(data[i:i + BLOCK_BYTES]) for i in range(0, whole, BLOCK_BYTES))
    seed = sha(version + "\n" + digests + sha(data[whole:]))
    return "".join(sha(f"{seed}:{i}")[:7] + " " for i in range(tokens))


def call(address, method, path, body=None, headers=None, timeout=10):
    """Sends a request on a new connection; returns (status, headers, text)."""
    ip, port = address.rsplit(":", 1)
    connection = http.client.HTTPConnection(ip, int(port), timeout=timeout)
    try:
        data = json.dumps(body) if isinstance(body, (dict, list)) else body
        connection.request(method, path, data, headers or {})
        response = connection.getresponse()
        return response.status, response.headers, response.read().decode()
    finally:
        connection.close()


def get_json(address, path):
    return json.loads(call(address, "GET", path)[2])


def set_fault(address, **faults):
    status, _, text = call(address, "POST", "/control/faults", faults)
    assert status == 200, text


class Process:
    def __init__(self, name, arguments, folder, host_log=False):
        self.name = name
        self.arguments = arguments
        self.log_path = os.path.join(folder, name + ".log")
        self.log = open(self.log_path, "ab")
        self.process = subprocess.Popen(
            arguments, stderr=self.log,
            stdout=self.log if host_log else subprocess.PIPE)
        self.address = None

    def read_address(self):
        line = self.process.stdout.readline().decode().split()
        if len(line) != 2 or line[0] != "listening":
            raise RuntimeError(f"{self.name} did not start:\n{self.tail()}")
        self.address = line[1]

    def signal(self, number):
        if self.process.poll() is None:
            os.kill(self.process.pid, number)

    def kill(self):
        self.signal(signal.SIGKILL)
        self.process.wait()

    def running(self):
        return self.process.poll() is None

    def wait(self, timeout):
        return self.process.wait(timeout)

    def tail(self):
        self.log.flush()
        with open(self.log_path, errors="replace") as log:
            return "".join(log.readlines()[-30:])


class Host:
    def __init__(self, name, zone, ip):
        self.name = name
        self.zone = zone
        self.ip = ip
        self.process = None
        self.callers = self.operators = self.peers = None

    def choose_ports(self):
        # Each host has its own loopback address, so that no outgoing connection
        # can take a chosen port before the host binds it.
        sockets = [socket.socket() for _ in range(3)]
        for s in sockets:
            s.bind((self.ip, 0))
        self.callers, self.operators, self.peers = (
            f"{self.ip}:{s.getsockname()[1]}" for s in sockets)
        for s in sockets:
            s.close()

    def ready(self):
        try:
            return call(self.operators, "GET", "/readyz", timeout=0.5)[0] == 200
        except OSError:
            return False

    def status(self):
        return get_json(self.operators, "/status")

    def kill_when_busy(self, requests=2, seconds=3):
        """Kills the host once it serves that many requests, or on timeout."""
        limit = time.monotonic() + seconds
        while (self.status()["active_requests"] < requests and
               time.monotonic() < limit):
            time.sleep(0.005)
        self.process.kill()


class Cluster:
    """A deployment: platform, stores, engines, plain services and hosts."""

    def __init__(self, deployment, host_zones, engines_per_zone=2,
                 engine_flags=(), store_flags=(), plain_workers=2,
                 with_stores=True, host_settings=None):
        self.deployment = deployment
        self.host_zones = host_zones
        self.engines_per_zone = engines_per_zone
        self.engine_flags = list(engine_flags)
        self.store_flags = list(store_flags)
        self.plain_workers = plain_workers
        self.with_stores = with_stores
        self.host_settings = host_settings or {}
        self.folder = tempfile.mkdtemp(prefix="jujuberock-")
        self.processes = []
        self.engines = {}
        self.plains = {}
        self.stores = {}
        self.hosts = []
        self.keys = {}
        self.object_versions = {}
        self.binary_folder = os.environ.get(
            "JUJUBEROCK_BUILD", os.path.join(ROOT, "build"))

    def __enter__(self):
        # Exits through __exit__ on SIGTERM, so that no process is left behind.
        signal.signal(signal.SIGTERM, lambda *unused: sys.exit(143))
        try:
            self.start()
        except BaseException:
            self.stop()
            raise
        return self

    def __exit__(self, *unused):
        self.stop()

    def stop(self):
        for process in self.processes:
            process.signal(signal.SIGCONT)
            process.signal(signal.SIGKILL)
        for process in self.processes:
            process.process.wait()
            process.log.close()
        shutil.rmtree(self.folder, ignore_errors=True)

    def standin(self, name, *arguments):
        binary = os.path.join(
            self.binary_folder, "source/standin/jujuberock_standin")
        process = Process(name, [binary, *arguments], self.folder)
        self.processes.append(process)
        process.read_address()
        return process

    def start(self):
        d = self.deployment
        self.platform = self.standin("platform", "platform")
        self.weights = self.standin("weight-store", "weight-store")
        if self.with_stores:
            for name in d["stores"]:
                self.stores[name] = self.standin(
                    name, "cache-store",
                    f"--bytes_per_body_byte={BYTES_PER_BODY_BYTE}",
                    *self.store_flags)
        for zone in d["zones"]:
            for i in range(self.engines_per_zone):
                self.start_engine(f"{d['engine_service']}-{zone}-{i}", zone)
        self.execution_log = os.path.join(self.folder, "executions")
        for i in range(self.plain_workers):
            name = f"{d['plain_service']}-{i}"
            self.plains[name] = self.standin(
                name, "plain-service", f"--execution_log={self.execution_log}")
        self.write_table()
        pid = os.getpid()
        for i, zone in enumerate(self.host_zones):
            ip = f"127.{1 + pid // 250 % 250}.{1 + pid % 250}.{10 + i}"
            host = Host(f"host-{i}", zone, ip)
            host.choose_ports()
            self.hosts.append(host)
            self.put("host", host.name, {
                "zone": zone, "address": host.peers, "state": "live"})
        for host in self.hosts:
            self.start_host(host)
        self.wait_ready(self.hosts)

    def start_engine(self, name, zone):
        self.engines[name] = self.standin(
            name, "engine", f"--model={self.deployment['model']}",
            f"--kv_bytes_per_block={KV_BYTES_PER_BLOCK}",
            f"--weight_store={self.weights.address}", *self.engine_flags)
        self.engines[name].zone = zone
        self.put_endpoint(name, self.deployment["engine_service"], zone,
                          self.engines[name].address)

    def start_host(self, host):
        settings = {
            "host_name": host.name, "zone": host.zone,
            "caller_address": host.callers, "operator_address": host.operators,
            "host_address": host.peers,
            "platform_address": self.platform.address,
            "deployment_key": DEPLOYMENT_KEY, "worker_threads": 1,
            **self.host_settings}
        path = os.path.join(self.folder, host.name + ".json")
        with open(path, "w") as file:
            json.dump(settings, file, indent=1)
        binary = os.path.join(
            self.binary_folder, "source/jujuberock/jujuberock")
        host.process = Process(host.name, [binary, "serve", "--config", path],
                               self.folder, host_log=True)
        self.processes.append(host.process)

    def wait_ready(self, hosts, seconds=20):
        limit = time.monotonic() + seconds
        for host in hosts:
            while not host.ready():
                if not host.process.running() or time.monotonic() > limit:
                    raise RuntimeError(
                        f"{host.name} is not ready:\n{host.process.tail()}")
                time.sleep(0.05)

    def put(self, kind, name, body):
        """Writes an object on its last known version; returns the new one."""
        path = f"/objects/{kind}/{name}"
        version = self.object_versions.get((kind, name), 0)
        token = f"cluster-{time.monotonic_ns()}"
        try:
            status, _, text = call(
                self.platform.address, "PUT", path,
                {"token": token, "body": body}, {"If-Version": str(version)})
        except http.client.RemoteDisconnected:
            # The response was lost; the token shows if the write succeeded.
            status, _, text = call(self.platform.address, "GET", path)
            if status != 200 or json.loads(text)["token"] != token:
                raise
        if status != 200:
            raise RuntimeError(f"writing {kind}/{name} failed: {status} {text}")
        self.object_versions[(kind, name)] = json.loads(text)["version"]
        return self.object_versions[(kind, name)]

    def put_endpoint(self, name, service, zone, address, state="live"):
        self.put("endpoint", name, {"service": service, "zone": zone,
                                    "address": address, "state": state})

    def team_body(self, team, **changes):
        band = {"from": "00:00", "to": "24:00", "weight": 1,
                "max_running": 200, "patience_ms": 10000, **changes}
        return {"keys": [sha(self.keys[team])], "bands": [band]}

    def put_engine_service(self, version):
        d = self.deployment
        self.put("service", d["engine_service"], {
            "kind": "engine", "models": [d["model"]], "version": version,
            "loads_at_once": 3, "retry_budget": 0.2, "bands": [SERVICE_BAND]})

    def write_table(self):
        d = self.deployment
        for team in d["teams"]:
            self.keys[team] = f"key-of-{team}"
            self.put("team", team, self.team_body(team))
        self.put_engine_service("v1")
        self.put("service", d["plain_service"], {
            "kind": "plain", "status_path": "/status",
            "non_idempotent": [{"method": "POST", "path_prefix": "/pay"}],
            "retry_budget": 0.2, "bands": [SERVICE_BAND]})
        for name, store in self.stores.items():
            self.put("store", name, {"zone": d["zones"][0],
                                     "address": store.address})
        for i, (name, process) in enumerate(self.plains.items()):
            self.put_endpoint(name, d["plain_service"],
                              d["zones"][i % len(d["zones"])], process.address)

    def engine_counts(self):
        """Returns the sums of the counters of all running engines."""
        total = {}
        for engine in self.engines.values():
            if engine.running():
                for name, value in get_json(
                        engine.address, "/control/counts").items():
                    total[name] = total.get(name, 0) + value
        return total

    def store_counts(self):
        total = {}
        for store in self.stores.values():
            if store.running():
                for name, value in get_json(
                        store.address, "/control/counts").items():
                    total[name] = total.get(name, 0) + value
        return total

    def executions(self):
        """Returns executions by "TEAM/KEY" from the log shared by all workers.

        Calls without a key are omitted: they are health probes of the hosts.
        """
        counts = {}
        if os.path.exists(self.execution_log):
            with open(self.execution_log) as log:
                for key in log.read().split():
                    if key.endswith("/"):
                        continue
                    counts[key] = counts.get(key, 0) + 1
        return counts


class Balancer:
    """Load balancer: picks a random host that passed its last ready check."""

    def __init__(self, cluster, seed):
        self.cluster = cluster
        self.random = random.Random(seed)
        self.lock = threading.Lock()
        self.ready = list(cluster.hosts)
        self.stopping = threading.Event()
        self.thread = threading.Thread(target=self.watch, daemon=True)
        self.thread.start()

    def watch(self):
        while not self.stopping.wait(0.1):
            ready = [h for h in self.cluster.hosts
                     if h.process.running() and h.ready()]
            with self.lock:
                self.ready = ready

    def pick(self, avoid=None):
        with self.lock:
            hosts = [h for h in self.ready if h is not avoid] or self.ready
            return self.random.choice(hosts) if hosts else None

    def stop(self):
        self.stopping.set()
        self.thread.join()


class Completion:
    """One streamed completion; the caller reconnects, resumes and restarts."""

    def __init__(self, cluster, balancer, team, prompt, tokens,
                 conversation="", give_up_s=60):
        self.cluster = cluster
        self.balancer = balancer
        self.team = team
        self.prompt = prompt
        self.tokens = tokens
        self.conversation = conversation
        self.give_up_s = give_up_s
        self.text = ""
        self.last_id = None
        self.done = False
        self.first_token_s = None
        self.refused = []   # (code, outcome)
        self.broken = []    # (host, whether a token was received, error, time)
        self.stream_errors = []  # (host, code, time) after the first byte
        self.resumes = 0
        self.restarts = 0
        self.started = self.ended = None

    def run(self):
        started = self.started = time.monotonic()
        host = None
        while not self.done and time.monotonic() - started < self.give_up_s:
            host = self.balancer.pick(avoid=host)
            if host is None:
                time.sleep(0.1)
                continue
            got = len(self.text)
            try:
                wait = self.attempt(host, started)
            except (OSError, http.client.HTTPException) as error:
                refused = isinstance(error, ConnectionRefusedError)
                if not refused:
                    self.broken.append((host.name, self.last_id is not None,
                                        repr(error), time.monotonic()))
                wait = 0.05
            if not self.done and len(self.text) == got:
                time.sleep(wait)
        self.ended = time.monotonic()
        return self

    def headers(self):
        headers = {"Authorization": "Bearer " + self.cluster.keys[self.team],
                   "Content-Type": "application/json"}
        if self.conversation:
            headers["Jujuberock-Conversation"] = self.conversation
        return headers

    def attempt(self, host, started):
        """Makes one attempt and returns the delay before the next one."""
        ip, port = host.callers.rsplit(":", 1)
        connection = http.client.HTTPConnection(
            ip, int(port), timeout=TOKEN_TIMEOUT_S)
        try:
            headers = self.headers()
            if self.last_id:
                self.resumes += 1
                headers["Last-Event-ID"] = self.last_id
                connection.request("GET", "/v1/completions", None, headers)
            else:
                connection.request("POST", "/v1/completions", json.dumps({
                    "model": self.cluster.deployment["model"],
                    "prompt": self.prompt, "max_tokens": self.tokens,
                    "stream": True}), headers)
            response = connection.getresponse()
            if response.status != 200:
                return self.on_problem(json.loads(response.read()))
            return self.read_events(host, response, started)
        finally:
            connection.close()

    def on_problem(self, problem):
        self.refused.append((problem.get("code"), problem.get("outcome")))
        if problem.get("name") in ("stream_gone", "invalid_event_id"):
            self.restart()
        return 0.2

    def restart(self):
        self.restarts += 1
        self.text = ""
        self.last_id = None

    def read_events(self, host, response, started):
        event = {}
        while True:
            line = response.readline().decode()
            if not line:
                raise http.client.IncompleteRead(b"")
            line = line.rstrip("\n")
            if line:
                name, _, value = line.partition(":")
                event[name] = value.lstrip()
                continue
            if event.get("event") == "error":
                problem = json.loads(event["data"])
                self.stream_errors.append(
                    (host.name, problem.get("code"), time.monotonic()))
                return self.on_problem(problem)
            if event.get("data") == "[DONE]":
                self.done = True
                return 0
            if "id" in event:
                if self.first_token_s is None:
                    self.first_token_s = time.monotonic() - started
                self.text += json.loads(event["data"])["choices"][0]["text"]
                self.last_id = event["id"]
            event = {}

    def right(self, version="v1"):
        return self.done and self.text == expected_answer(
            self.prompt, version, self.tokens)


class Payment:
    """A non-idempotent call, retried with the same key until it succeeds."""

    def __init__(self, cluster, balancer, team, key, attempts=6):
        self.cluster = cluster
        self.balancer = balancer
        self.team = team
        self.key = key
        self.attempts = attempts
        self.answers = []   # "done", "not_run", "unknown", "broken", "refused"
        self.codes = []
        self.broken = []    # as in Completion
        self.issued_at = time.strftime("%Y-%m-%dT%H:%M:%SZ", time.gmtime())

    def run(self):
        host = None
        for _ in range(self.attempts):
            host = self.balancer.pick(avoid=host)
            if host is None:
                time.sleep(0.2)
                continue
            answer = self.attempt(host)
            self.answers.append(answer)
            if answer == "done":
                break
            time.sleep(0.3)
        return self

    def attempt(self, host):
        service = self.cluster.deployment["plain_service"]
        headers = {"Authorization": "Bearer " + self.cluster.keys[self.team],
                   "Idempotency-Key": self.key,
                   "Jujuberock-Issued-At": self.issued_at,
                   "Content-Type": "application/json"}
        try:
            status, _, text = call(
                host.callers, "POST", f"/services/{service}/pay",
                json.dumps({"key": self.key}), headers, timeout=20)
        except ConnectionRefusedError:
            return "refused"
        except (OSError, http.client.HTTPException) as error:
            self.broken.append((host.name, False, repr(error),
                                time.monotonic()))
            return "broken"
        if status == 200:
            answer = json.loads(text)
            right = answer["key"] == self.key and answer["team"] == self.team
            return "done" if right else "wrong"
        problem = json.loads(text)
        self.codes.append(problem.get("code"))
        return problem.get("outcome", "unknown")


def check_payments(payments, executions):
    """Returns violations of the guarantees for non-idempotent calls."""
    faults = []
    for payment in payments:
        count = executions.get(f"{payment.team}/{payment.key}", 0)
        if count > 1:
            faults.append(f"{payment.key} ran {count} times "
                          f"({payment.answers})")
        if "wrong" in payment.answers:
            faults.append(f"{payment.key} got the response of another call")
        if "done" in payment.answers and count == 0:
            faults.append(f"{payment.key} got a response but never ran")
        only_not_run = payment.answers and all(
            answer in ("not_run", "refused") for answer in payment.answers)
        if only_not_run and count > 0:
            faults.append(f"{payment.key} was refused as not_run but ran "
                          f"(codes {payment.codes})")
    return faults


def percentile(values, share):
    ordered = sorted(values)
    if not ordered:
        return float("nan")
    return ordered[min(len(ordered) - 1, int(share * len(ordered)))]


def run_all(jobs, threads):
    """Calls run() of all jobs on the given number of threads."""
    queue = list(reversed(jobs))
    lock = threading.Lock()

    def work():
        while True:
            with lock:
                if not queue:
                    return
                job = queue.pop()
            job.run()

    workers = [threading.Thread(target=work, daemon=True)
               for _ in range(threads)]
    for worker in workers:
        worker.start()
    for worker in workers:
        worker.join()
    return jobs


CANELONES = {
    "zones": ["santa-lucia", "sauce", "tala"],
    "engine_service": "asistente",
    "model": "asistente-1",
    "plain_service": "cajas-app",
    "stores": ["memoria-a", "memoria-b"],
    "teams": ["lavalleja", "pando", "progreso"],
}

KOPERASI = {
    "zones": ["kuantan", "klang", "kuala-terengganu"],
    "engine_service": "pembantu",
    "model": "pembantu-1",
    "plain_service": "daftar-app",
    "stores": ["ingatan-a", "ingatan-b"],
    "teams": ["padi", "getah", "nelayan"],
}

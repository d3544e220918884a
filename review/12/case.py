"""All hosts are killed while the store is away and comes back from an older
copy. See claim.txt."""

import asyncio
import os
import sys

from scene import (COULD_NOT_RUN, Gateway, Link, PlatformStore, Record,
                   Requester, ScriptedEndpoint, free_port_on, remove_folder,
                   signal, temporary_folder)

TROUBLE = os.environ.get("TROUBLE", "1") != "0"
HERE = os.path.dirname(os.path.abspath(__file__))

REVOKE_S = 5.0
# The store is away for a moment and comes back from a copy some seconds old.
AWAY_S = 0.8
# After the confirmation of the withdrawal.
AWAY_AFTER_S = 7.0
# A process that is killed is restarted after a short delay.
RESTART_S = 0.5
# The operator writes again what the store has lost.
REWRITE_S = 1.5
OK = (b"HTTP/1.1 200 OK\r\nX-Attempt-Id: {id}\r\nX-Server-Stamp: s\r\n"
      b"Content-Length: 2\r\n\r\nok")


def config(version, keys):
    return {"version": version,
            "tenants": [{"name": "t1", "apiKeys": keys, "isolated": False}],
            "routes": [{"name": "r-balance", "host": "h.example",
                        "pathPrefix": "/balance/", "kind": "idempotent",
                        "timeoutMs": 800, "targetLatencyMs": 100,
                        "priority": 2, "service": "app", "maxAttempts": 2,
                        "public": False, "sessionAffinity": False}],
            "services": [{"name": "app", "healthPath": "/health",
                          "maxConns": 100, "protocol": "h1", "tls": False}],
            "limits": {"maxHeaderBytes": 16384, "maxBodyBytes": 4194304,
                       "headerTimeoutMs": 5000, "idleTimeoutMs": 15000}}


def entry(endpoint):
    return {"service": "app", "address": endpoint.address, "zone": "sauce",
            "version": "v1", "slots": 6, "state": "ready", "coldLeftMs": 0,
            "born": 1780000000000, "sequence": 1}


async def play(record, folder, gateways):
    store = PlatformStore()
    await store.start()
    endpoints = [ScriptedEndpoint(lambda _: [("pause", 0.015), ("send", OK)])
                 for _ in range(3)]
    for number, endpoint in enumerate(endpoints):
        await endpoint.start()
        store.put("servers", f"i-{number}", entry(endpoint))
    store.put("config", "main", config(1, ["kept", "withdrawn"]))
    addresses = ["127.0.0.61", "127.0.0.62", "127.0.0.63"]
    ports = [free_port_on(*addresses) for _ in range(4)]
    links = []
    for number, address in enumerate(addresses):
        link = Link(store)
        await link.start()
        links.append(link)
        gateway = Gateway(f"front-sauce-{number + 1}", address, "sauce",
                          link.address, ports, folder, record)
        gateways.append(gateway)
        gateway.start()
    for gateway in gateways:
        await gateway.await_ready()
    await asyncio.sleep(1.0)
    requesters = [Requester(gateway, key, "/balance/1", 0.05, record)
                  for gateway in gateways for key in ("kept", "withdrawn")]
    tasks = [asyncio.create_task(requester.run()) for requester in requesters]
    await asyncio.sleep(1.0)
    saved = store.copy()
    await asyncio.sleep(0.5)
    store.put("config", "main", config(2, ["kept"]))
    withdrawn_at = record.now()
    record.add("config 2, without the key, is confirmed")
    await asyncio.sleep(AWAY_AFTER_S)
    if TROUBLE:
        store.leave()
        record.add("the store is away")
        await asyncio.sleep(0.1)
        for gateway in gateways:
            gateway.send_signal(signal.SIGKILL)
        for gateway in gateways:
            gateway.process.wait()
        await asyncio.sleep(RESTART_S)
        for gateway in gateways:
            gateway.start()
        await asyncio.sleep(AWAY_S - RESTART_S - 0.1)
        store.restore(saved)
        for number, endpoint in enumerate(endpoints):
            store.put("servers", f"i-{number}", entry(endpoint))
        store.away = False
        record.add("the store is back from a copy, era 2")
        await asyncio.sleep(REWRITE_S)
        store.put("config", "main", config(2, ["kept"]))
        record.add("config 2 is written again")
    await asyncio.sleep(3.0)
    for task in tasks:
        task.cancel()
    sent = {}
    for requester in requesters:
        sent.update(requester.sent)
    ran = {request["id"] for endpoint in endpoints
           for request in endpoint.requests}
    for number in sorted(ran, key=lambda n: sent.get(n, 0)):
        record.add(f"ran {number}, sent at {sent.get(number, -1):.3f}")
    late = [number for number in ran if "-withdrawn-" in number and
            sent[number] > withdrawn_at + REVOKE_S]
    served = [number for number in ran if "-kept-" in number]
    early = [number for number in ran if "-withdrawn-" in number and
             sent[number] < withdrawn_at]
    if len(served) < 100 or len(early) < 10:
        record.add("too few requests were served for a verdict")
        return COULD_NOT_RUN
    text = (f"{len(late)} requests with the withdrawn key ran that were sent "
            f"more than {REVOKE_S:.0f} s after the confirmation")
    if late:
        times = sorted(sent[number] - withdrawn_at for number in late)
        text += f" ({times[0]:.2f} to {times[-1]:.2f} s after it)"
    record.add(text)
    print(text)
    return 1 if late else 0


async def run():
    record = Record(HERE)
    folder = temporary_folder()
    gateways = []
    try:
        return await asyncio.wait_for(play(record, folder, gateways), 110)
    except (RuntimeError, OSError, asyncio.TimeoutError) as error:
        record.add(f"could not run: {error!r}")
        return COULD_NOT_RUN
    finally:
        for gateway in gateways:
            gateway.end()
        if not os.environ.get("KEEP"):
            remove_folder(folder)
        else:
            print(folder)


if __name__ == "__main__":
    sys.exit(asyncio.run(run()))

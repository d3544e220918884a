"""What the scripts of the cases share: the record, the settings, the outcome."""

import asyncio
import os
import shutil
import sys
import time
import traceback

import gateway_standins

HELD, BROKEN, COULD_NOT_RUN = 0, 1, 2
# Longest time of a script. Kept below the 120 s that a script may take.
LIMIT_S = 110

# Bounds of the small deployments, as deploy/settings.json.template passes them.
SETTINGS = {
    "engines_check_fences": False, "revocation_bound_ms": 5000,
    "version_bound_ms": 8000, "endpoint_heartbeat_ms": 1200,
    "lease_ms": 3000, "stop_grace_ms": 8000, "retry_window_ms": 10000,
    "retry_ratio": 0.2, "retry_slack": 54,
}


def has_trouble():
    return os.environ.get("TROUBLE", "1") != "0"


class Record:
    """record.txt in the folder of the case: what was sent, answered and run."""

    def __init__(self, folder):
        self.began = time.monotonic()
        self.out = open(os.path.join(folder, "record.txt"), "w")
        self.add("trouble" if has_trouble() else "no trouble")

    def add(self, text):
        self.out.write("%8.3f s  %s\n" % (time.monotonic() - self.began, text))
        self.out.flush()


def run_case(folder, body):
    """Runs `body(record, processes)`, which returns whether the rule held, and
    exits. Gateways that the body adds to `processes` are ended."""
    record = Record(folder)
    processes = []

    async def bounded():
        return await asyncio.wait_for(body(record, processes), LIMIT_S)

    status = COULD_NOT_RUN
    try:
        if os.access(gateway_standins.GATEWAY, os.X_OK):
            status = HELD if asyncio.run(bounded()) else BROKEN
        else:
            record.add("the program is not built: "
                       + os.path.basename(gateway_standins.GATEWAY))
    except Exception:  # The case could not run; the record says why.
        record.add("the case could not run: " + traceback.format_exc())
    finally:
        for process in processes:
            process.kill()
            shutil.rmtree(process.folder, ignore_errors=True)
    record.add({HELD: "the rule held", BROKEN: "the rule was broken",
                COULD_NOT_RUN: "the case could not run"}[status])
    print(open(record.out.name).read().splitlines()[-1])
    sys.exit(status)


class CutProxy:
    """Passes the calls of one machine on to the store until cut() partitions
    the machine from it: no byte passes any more, and no connection is closed.
    After go_silent() only the connections that are open then are dead."""

    def __init__(self, address):
        self.target = address
        self.is_cut = False
        self.connections = []

    async def start(self):
        self.server = await asyncio.start_server(self.serve, "127.0.0.1", 0)
        self.address = "127.0.0.1:%d" % self.server.sockets[0].getsockname()[1]

    def cut(self):
        self.is_cut = True

    def heal(self):
        self.is_cut = False

    def go_silent(self):
        for connection in self.connections:
            connection["silent"] = True

    async def serve(self, reader, writer):
        connection = {"silent": False}
        self.connections.append(connection)
        writers = [writer]
        try:
            while self.is_cut:
                await asyncio.sleep(0.05)
            host, port = self.target.rsplit(":", 1)
            far_reader, far_writer = await asyncio.open_connection(
                host, int(port))
            writers.append(far_writer)
            await asyncio.gather(
                self.pump(reader, far_writer, connection),
                self.pump(far_reader, writer, connection))
        except (ConnectionError, asyncio.CancelledError):
            pass  # One of the two has ended, or the case has.
        finally:
            for each in writers:
                each.close()

    async def pump(self, reader, writer, connection):
        while data := await reader.read(65536):
            while self.is_cut or connection["silent"]:
                await asyncio.sleep(0.05)
            writer.write(data)
            await writer.drain()
        writer.close()

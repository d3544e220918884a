"""What the scripts of the cases share: the record, the settings, the outcome."""

import asyncio
import os
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
    record.add({HELD: "the rule held", BROKEN: "the rule was broken",
                COULD_NOT_RUN: "the case could not run"}[status])
    print(open(record.out.name).read().splitlines()[-1])
    sys.exit(status)

"""Case 1: after all controllers crash, none of them ever reads the records to the end, and none serves again."""

import asyncio
import os
import pathlib
import random
import sys
import time

FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / "common"))

from cloud import Cloud                      # noqa: E402
from deployment import Deployment, Record    # noqa: E402
from store import Store                      # noqa: E402

TROUBLE = os.environ.get("TROUBLE", "1") != "0"
SEED = int(os.environ.get("SEED", str(time.time_ns() % 1_000_000)))

BROKEN = 10                  # what run.sh turns into 1; Python itself exits with 1 when a script fails

# Settings of the canal hire hosting, BRIEF-saltpitch.md, with one of its teams.
CLUSTER = {
    "size": 3, "zones": ["busan-south", "incheon-west"],
    "teams": [{"name": "quay-ops-00", "cpus": 0.0, "cpus_max": 0.0, "gpus": 8.0,
               "gpus_max": 24.0}],
    "objectives": [],
    "workers": {"report_s": 3.0, "lease_s": 36.0, "gang_wait_s": 45.0, "gang_peer_s": 8.0,
                "cancel_s": 66.0},
    "state": {"rps": 90.0, "write_rps": 35.0, "value_kb": 8.0, "txn_ops": 12},
    "cloud": {"rps": 5.0, "list_lag_s": 6.0},
    "limits": {"cpu_share": 0.24, "mem_mb": 200.0, "sockets": 2500},
    "clock_error_ms": 5.0,
}
TYPES = {"dinghy": {"sku": "dinghy", "cpus": 4, "accelerators": 0, "mem_gb": 32, "cache_gb": 35,
                    "fetch_gb_per_s": 0.8, "rate": 0.27, "low_price": 0.09, "ready_s": 2,
                    "basins": ["busan-south", "incheon-west"]}}
NAMES = ["bollard-0", "bollard-1", "bollard-2"]
ZONES = ["incheon-west", "busan-south", "incheon-west"]

# The brief's classes submit 20 jobs a minute, 28,800 a day. "A job's final state must be kept", so the service
# keeps a record of each: that many are on record after five days.
EARLIER_JOBS = int(os.environ.get("EARLIER_JOBS", "144000"))
JOBS_PER_S = 20.0 / 60.0
LATENCY_S = 0.006            # `latency_ms` of the site files
FIRST_JOBS = 3               # submitted before the trouble
CRASH_AT_S = 20.0            # "controllers crash, one or all"
RETURN_AFTER_S = 6.0         # "back about 6 s after an end"
ASK_EVERY_S = 5.0            # "Users poll roughly every 5 s"
SILENCE_S = 75.0             # "a job about which no question is answered for 75 s counts as forgotten"
END_AT_S = 112.0


class Users:
    """Submit jobs and ask about each until the end, through a load balancer that tries every node."""

    def __init__(self, deployment, cloud, record):
        self.deployment, self.cloud, self.record = deployment, cloud, record
        self.last_answer = {}    # accepted job -> when a question about it was last answered
        self.longest = {}        # accepted job -> the longest silence after the trouble
        self.done, self.answered = set(), 0
        self.trouble_over = float("inf")
        self.tasks = set()

    async def run(self, until):
        number = 0
        while time.monotonic() < until:
            number += 1
            self.tasks.add(asyncio.create_task(self.job(f"job-{number:06}", until)))
            pause = 1.0 if number < FIRST_JOBS else 1.0 / JOBS_PER_S
            await asyncio.sleep(min(pause, max(0.0, until - time.monotonic())))
        for task in self.tasks:
            task.cancel()

    async def call(self, method, path, body, limit, statuses):
        for name in random.sample(NAMES, len(NAMES)):
            answer = await self.deployment.callers[name].call(method, path, body, limit)
            if answer and answer[0] in statuses:
                return name, answer
        return None, None

    async def job(self, ref, until):
        body = {"ref": ref, "berth": "mooring-reconcile", "crew": "quay-ops-00", "rig": "sweep",
                "precedence": "normal", "legs": 1, "cpus": 4.0, "accelerators": 0.0,
                "mem_gb": 17.0, "hull": "img-07", "image_gb": 0.8, "hulls_list": None,
                "basin": None, "together": False, "spread": False, "lay_by": True,
                "passage_s": 4.0, "moor_every_s": 0.0, "tie_up_s": 0.0, "arrive_by_s": None}
        self.cloud.jobs[ref] = body
        end = time.monotonic() + 60.0
        while time.monotonic() < end:
            name, answer = await self.call("POST", "/v2/runs", body, 5.0, (200, 201))
            if answer:
                break
            await asyncio.sleep(1.0)
        else:
            self.record.line(f"POST {ref}: not accepted within 60 s")
            return
        self.record.line(f"{name}: POST {ref} -> {answer[0]} {answer[1]['status']}")
        self.last_answer[ref] = time.monotonic()
        while time.monotonic() < until:
            await asyncio.sleep(ASK_EVERY_S * random.uniform(0.8, 1.2))
            name, answer = await self.call("GET", f"/v2/runs/{ref}", None, 2.0, (200,))
            now = time.monotonic()
            if answer:
                self.answered += 1
                self.last_answer[ref] = now
                if answer[1]["status"] == "done" and ref not in self.done:
                    self.done.add(ref)
                    self.record.line(f"{name}: GET {ref} -> done")
            since = max(self.last_answer[ref], self.trouble_over)
            self.longest[ref] = max(self.longest.get(ref, 0.0), now - since)


async def crash_all(deployment, record, users):
    await asyncio.sleep(max(0.0, record.began + CRASH_AT_S - time.monotonic()))
    if TROUBLE:
        for name in NAMES:
            deployment.kill(name)
        await asyncio.sleep(RETURN_AFTER_S)
        for name in NAMES:
            deployment.start(name)
    users.trouble_over = time.monotonic()
    record.line("the trouble is over")


async def note_state(deployment, store, record):
    """Notes every five seconds what the state service answered and which controllers are up."""
    before = {}
    while True:
        await asyncio.sleep(5.0)
        counts = dict(store.counts)
        parts = []
        for number, name in enumerate(NAMES):
            answer = await deployment.callers[name].call("GET", "/up", None, 1.0)
            since = {key[1:]: counts[key] - before.get(key, 0) for key in counts if key[0] == number}
            texts = [f"{kind} {status} x{count}" for (kind, status), count in sorted(since.items())
                     if count]
            parts.append(f"{name} /up {answer[0] if answer else '-'}: {', '.join(texts) or '-'}")
        before = counts
        record.line("state service, last 5 s: " + " | ".join(parts))


async def main():
    record = Record(FOLDER)
    record.line(f"TROUBLE={int(TROUBLE)} SEED={SEED} EARLIER_JOBS={EARLIER_JOBS}")
    random.seed(SEED)
    state = CLUSTER["state"]
    store = Store(LATENCY_S, state["value_kb"], state["txn_ops"], state["rps"], state["write_rps"])
    store.preload((f"salt/j/job-{1_000_000 + number}", '{"s":"done","t":0,"f":1796000000000000}')
                  for number in range(EARLIER_JOBS))
    workers = CLUSTER["workers"]
    cloud = Cloud(TYPES, workers["report_s"], workers["lease_s"], list_lag_s=6.0, boot_s=2.0,
                  capacity=6)
    deployment = Deployment(CLUSTER, NAMES, ZONES, record)
    users = Users(deployment, cloud, record)
    try:
        await store.start([deployment.store[name] for name in NAMES])
        await cloud.start(deployment.cloud, deployment.callers)
        for name in NAMES:
            deployment.start(name)  # one after the other, as after an upgrade
            if not await deployment.wait_up([name]):
                print(f"{name} does not come up")
                return 2
            record.line(f"{name} is up")
            await asyncio.sleep(1.5)
        asyncio.create_task(note_state(deployment, store, record))
        asyncio.create_task(crash_all(deployment, record, users))
        await users.run(record.began + END_AT_S)
    finally:
        deployment.close()
    forgotten = [ref for ref, silence in users.longest.items() if silence > SILENCE_S]
    for ref in forgotten:
        record.line(f"BROKEN forgotten: no question about {ref} was answered for "
                    f"{users.longest[ref]:.1f} s after the trouble")
    starts = sum(1 for event in cloud.events if event[1] == "start")
    refused = sum(count for key, count in store.counts.items() if key[2] == 429)
    summary = (f"accepted {len(users.last_answer)}, done {len(users.done)}, questions answered "
               f"{users.answered}, starts {starts}, answers 429 {refused}, "
               f"forgotten {len(forgotten)}")
    record.line(summary)
    print(summary)
    if len(users.last_answer) < FIRST_JOBS:
        return 2
    return BROKEN if forgotten else 0


async def run():
    code = await main()
    sys.stdout.flush()
    os._exit(code)  # the stand-ins have nothing to bring to an end


asyncio.run(run())

"""A stand-in for the state service, as PROTOCOL-saltpitch.md describes it."""

import asyncio
import bisect
import json
import random
import time
from collections import deque
from urllib.parse import parse_qs, unquote, urlsplit

from net import Server

HISTORY = 10_000
MAX_ITEMS = 1_000
MAX_PAGE_BYTES = 512 * 1024


class Bucket:
    """A rate limit that allows a burst of one second's worth."""

    def __init__(self, rate):
        self.rate, self.left, self.at = rate, rate, time.monotonic()

    def take(self, count):
        if self.rate is None:
            return True
        now = time.monotonic()
        self.left = min(self.rate, self.left + (now - self.at) * self.rate)
        self.at = now
        if self.left < count:
            return False
        self.left -= count
        return True


class Store:
    """One state service with one address for each controller, so that it can refuse a single one."""

    def __init__(self, latency_s=0.004, value_kb=32.0, txn_ops=48, rps=None, write_rps=None):
        self.latency_s = latency_s
        self.requests, self.writes = Bucket(rps), Bucket(write_rps)
        self.counts = {}        # (controller, kind, status) -> answers
        self.max_value, self.max_ops = int(value_kb * 1024), txn_ops
        self.keys = {}          # key -> (value as JSON text, revision, lease)
        self.order = []         # the keys, sorted
        self.revision = 0
        self.history = deque()  # (revision, key, value or None)
        self.leases = {}        # id -> [time to live, end]
        self.next_lease = 1
        self.changed = asyncio.Event()
        self.servers = []
        self.refused = set()    # controllers that get 503
        self.down = False
        self.on_answer = None   # called with (controller, kind, status) for each answer
        self.delay = None       # returns further seconds for (controller, kind, query)

    async def start(self, ports):
        for number, port in enumerate(ports):
            server = Server(port, self.handler_of(number))
            await server.start()
            self.servers.append(server)
        asyncio.get_running_loop().create_task(self.expire())

    def preload(self, items):
        """Puts records of earlier days in place, oldest first."""
        for key, value in items:
            self.revision += 1
            self.keys[key] = (value, self.revision, None)
        self.order = sorted(self.keys)

    async def expire(self):
        while True:
            await asyncio.sleep(0.02)
            now = time.monotonic()
            if self.down:
                continue
            for lease, (_, end) in list(self.leases.items()):
                if now > end:
                    self.end_lease(lease)

    def end_lease(self, lease):
        self.leases.pop(lease, None)
        gone = [key for key, entry in self.keys.items() if entry[2] == lease] \
            if len(self.keys) < 50_000 else \
            [key for key in ("salt/leader",) if key in self.keys and self.keys[key][2] == lease]
        if gone:
            self.commit([(key, None, None) for key in gone])

    def set_down(self, down):
        self.down = down
        if not down:
            now = time.monotonic()
            for entry in self.leases.values():
                entry[1] = now + entry[0]
            self.wake()

    def wake(self):
        self.changed.set()
        self.changed = asyncio.Event()

    def commit(self, writes):
        self.revision += 1
        for key, value, lease in writes:
            if value is None:
                if key in self.keys:
                    del self.keys[key]
                    self.order.pop(bisect.bisect_left(self.order, key))
            else:
                if key not in self.keys:
                    bisect.insort(self.order, key)
                self.keys[key] = (value, self.revision, lease)
            self.history.append((self.revision, key, value))
        while len(self.history) > HISTORY:
            self.history.popleft()
        self.wake()

    def handler_of(self, number):
        async def handle(method, target, body):
            parts = urlsplit(target)
            query = {name: values[0] for name, values in parse_qs(parts.query).items()}
            path = unquote(parts.path)
            kind = self.kind_of(path, query)
            pause = self.latency_s * random.uniform(0.5, 1.5)
            if self.delay:
                pause += self.delay(number, kind, query)
            await asyncio.sleep(pause / 2)
            if self.down or number in self.refused:
                answer = 503, {"error": "trouble"}
            elif not self.requests.take(1):
                answer = 429, {"error": "too many requests"}
            else:
                answer = await self.answer(number, kind, method, path, query, body)
            count = (number, kind, answer[0])
            self.counts[count] = self.counts.get(count, 0) + 1
            if self.on_answer:
                self.on_answer(number, kind, answer[0])
            await asyncio.sleep(pause / 2)
            return answer
        return handle

    @staticmethod
    def kind_of(path, query):
        if path == "/watch":
            return "read" if int(query.get("wait_ms", "0")) == 0 else "watch"
        if path == "/store":
            return "list"
        return path.split("/")[1]

    async def answer(self, number, kind, method, path, query, body):
        if kind in ("watch", "read"):
            return await self.watch(number, query)
        if kind == "list":
            return self.list(query)
        if kind == "store":
            entry = self.keys.get(path[len("/store/"):])
            if entry is None:
                return 404, {"ledger_no": self.revision}
            row = {"path": path[len("/store/"):], "v": json.loads(entry[0]), "entry_no": entry[1]}
            if entry[2]:
                row["mooring"] = entry[2]
            return 200, row
        if kind == "txn":
            return self.transaction(json.loads(body))
        if kind == "holds":
            return self.lease(method, path, body)
        return 404, {}

    async def watch(self, number, query):
        prefix, after = query.get("starts", ""), int(query.get("from", "0"))
        end = time.monotonic() + min(int(query.get("wait_ms", "0")), 60_000) / 1000
        while True:
            # An open watch waits through an outage, and while its controller is refused.
            if not self.down and number not in self.refused:
                if self.history and after < self.history[0][0] - 1:
                    return 410, {"ledger_no": self.revision}
                news = []
                for revision, key, value in reversed(self.history):
                    if revision <= after:
                        break
                    if key.startswith(prefix):
                        if value is None:
                            news.append(f'{{"delete":{json.dumps(key)},"entry_no":{revision}}}')
                        else:
                            news.append(f'{{"write":{json.dumps(key)},"v":{value},'
                                        f'"entry_no":{revision}}}')
                news.reverse()
                if news or time.monotonic() >= end:
                    text = f'{{"ledger_no":{self.revision},"news":[{",".join(news)}]}}'
                    return 200, text.encode()
            left = end - time.monotonic()
            if left <= 0:
                return 503, {"error": "trouble"}
            try:
                await asyncio.wait_for(self.changed.wait(), min(left, 0.25))
            except asyncio.TimeoutError:
                pass

    def list(self, query):
        prefix = query.get("starts", "")
        after = query.get("from", "")
        count = min(int(query.get("page", "1000")), MAX_ITEMS)
        start = bisect.bisect_right(self.order, after) if after else \
            bisect.bisect_left(self.order, prefix)
        rows, size, has_next = [], 0, False
        for key in self.order[start:start + count + 1]:
            if not key.startswith(prefix):
                break
            value, revision, _ = self.keys[key]
            row = f'{{"path":"{key}","v":{value},"entry_no":{revision}}}'
            if len(rows) >= count or size + len(row) > MAX_PAGE_BYTES:
                has_next = True
                break
            rows.append(row)
            size += len(row)
        text = (f'{{"rows":[{",".join(rows)}],"has_next":{"true" if has_next else "false"},'
                f'"ledger_no":{self.revision}}}')
        return 200, text.encode()

    def transaction(self, body):
        writes = body.get("writes", [])
        if not self.writes.take(len(writes)):
            return 429, {"error": "too many changes"}
        if len(writes) > self.max_ops or len(body.get("when", [])) > 4 * self.max_ops:
            return 400, {"error": "too large"}
        for write in writes:
            lease = write.get("mooring")
            if lease is not None and lease not in self.leases:
                return 400, {"error": "no such lease"}
        failed = [condition["path"] for condition in body.get("when", [])
                  if self.entry_no(condition["path"]) != condition["entry_no"]]
        if failed:
            return 409, {"failed": failed, "ledger_no": self.revision}
        changes = []
        for write in writes:
            if "delete" in write:
                changes.append((write["delete"], None, None))
            else:
                value = json.dumps(write["v"], separators=(",", ":"))
                if len(value) > self.max_value:
                    return 400, {"error": "too large"}
                changes.append((write["write"], value, write.get("mooring")))
        if changes:
            self.commit(changes)
        return 200, {"ledger_no": self.revision}

    def entry_no(self, key):
        entry = self.keys.get(key)
        return entry[1] if entry else 0

    def lease(self, method, path, body):
        parts = path.strip("/").split("/")
        now = time.monotonic()
        if method == "POST" and len(parts) == 1:
            ttl = json.loads(body)["ttl_ms"] / 1000
            lease, self.next_lease = self.next_lease, self.next_lease + 1
            self.leases[lease] = [ttl, now + ttl]
            return 200, {"mooring": lease}
        lease = int(parts[1])
        if method == "DELETE":
            self.end_lease(lease)
            return 200, {}
        if lease not in self.leases:
            return 404, {"error": "no such lease"}
        self.leases[lease][1] = now + self.leases[lease][0]
        return 200, {"mooring": lease}

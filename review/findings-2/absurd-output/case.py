"""A tenant gets more than its prepaid tokens by requests that state an absurd largest output.

One instance, three engines. A tenant sends streams of which only some fit into what it has paid.
Between them it sends requests whose largest output is the largest number of 64 bits, which the
engines refuse for want of memory.
"""

import asyncio
import os
import random
import sys

FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(os.path.dirname(os.path.dirname(FOLDER)), "lib-2"))

from standin import (TROUBLE, CannotRun, Engine, Instance, Store, main, request_stream)  # noqa: E402

STRIDE = 5
PROMPT, OUTPUT = 500, 100
PREPAID = 30_000
STREAMS = 200
KV_TOKENS = 508_163
EVENT_S = 0.1
HUGE = 2**64 - 1


class Model(Engine):
    """Refuses what its memory does not hold, as if it were full; else writes events."""

    async def run(self, writer, run):
        head = run["head"]
        prompt, output = map(int, head.get("x-lacewingpost-token-counts").split(","))
        if prompt + output > KV_TOKENS:
            self.runs.remove(run)
            self.record.line(f"engine {self.name} has no room for {run['id']}, which did not run")
            return self._plain(writer, 503, "", {"X-Lacewingpost-Not-Executed": "1",
                                                 "X-Lacewingpost-Attempt-Id": run["id"]})
        await asyncio.sleep(0.02)
        writer.write(("HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n" + self.fields(run)
                      + "Transfer-Encoding: chunked\r\n\r\n").encode())
        for number in range(1, output // STRIDE + 1):
            event = f"id: {number}\ndata: x\n\n".encode()
            writer.write(b"%x\r\n%s\r\n" % (len(event), event))
            await writer.drain()
            await asyncio.sleep(EVENT_S)
        writer.write(b"0\r\n\r\n")


CONFIG = {
    "version": 1,
    "routes": [
        {"name": "r", "host": "h.example", "prefix": "/s/", "kind": "stream", "timeout_ms": 8000,
         "target_latency_ms": 600, "priority": 1, "service": "llm", "max_attempts": 1,
         "allow_anonymous": False, "session_affinity": True, "resume_streams": False,
         "gap_target_ms": 400}],
    "services": [{"name": "llm", "health_path": "/health", "connection_limit": 370,
                  "protocol": "h1", "tls": False,
                  "engine": {"slots": 64, "kv_cache_tokens": KV_TOKENS, "kv_token_bytes": 327680,
                             "bandwidth_mbps": 550000.0, "moves": False, "backups": False,
                             "stride": STRIDE, "models": [{"name": "m"}]}}],
    "limits": {"header_bytes": 16384, "body_bytes": 4194304, "header_timeout_ms": 3000,
               "idle_ms": 15000},
    "tenants": [{"name": "t", "api_keys": ["key-of-t"], "priority": 1, "prepaid": PREPAID}],
}


async def case(scratch, record, instances):
    store = Store(record)
    await store.start()
    store.put("op", "config", CONFIG)
    engines = [Model(f"i-{number}", "llm", store, record) for number in range(3)]
    for engine in engines:
        await engine.start()
    instance = Instance(scratch, store, record)
    instances.append(instance)
    instance.start()
    await instance.wait_ready()
    await asyncio.sleep(8)

    async def request(output):
        prefix = f"{random.getrandbits(32):x}:200,{random.getrandbits(32):x}:{PROMPT - 200}"
        return await request_stream(instance, record, "/s/a", "key-of-t", (PROMPT, output), prefix,
                                    8000)

    clients = []
    for number in range(STREAMS):
        clients.append(asyncio.create_task(request(OUTPUT)))
        if TROUBLE and number % 5 == 4:
            record.line(f"a request states a largest output of {HUGE}")
            await request(HUGE)
        await asyncio.sleep(0.03)
    streams = await asyncio.gather(*clients)

    begun = [stream for stream in streams if stream.events]
    statuses = sorted({stream.status for stream in streams}, key=str)
    # Input tokens count once per request that ran, output tokens as they were delivered.
    used = sum(PROMPT + STRIDE * len(stream.events) for stream in begun)
    summary = f"{len(begun)} of {len(streams)} streams began, other answers {statuses}: " \
              f"{used} of {PREPAID} prepaid tokens"
    record.line(summary)
    print(summary)
    if not begun:
        raise CannotRun("no stream began")
    if used > PREPAID:
        return [f"BUDGET: the tenant got {used} tokens and had paid {PREPAID}"]
    return []


main(FOLDER, case)

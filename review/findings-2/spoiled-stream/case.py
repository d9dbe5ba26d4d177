"""A stream goes on at another engine while the engine before still works on it.

Four engines, one instance. For some seconds, an engine spoils some of its streams: in the middle of
an answer it sends bytes that are no chunk, and works on while its connection is open. The instance
resumes such a stream at another engine, which has read the prompt some hundred ms later.
"""

import asyncio
import os
import random
import sys

FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(os.path.dirname(os.path.dirname(FOLDER)), "lib-2"))

from standin import (TROUBLE, CannotRun, Engine, Instance, Store, main, request_stream)  # noqa: E402

ENGINES = 4
# The site's garble: share = 0.358, x = 0.0223, for_s = 6.39; it may come more than once.
SHARE, SPOILED, FOR_S, SPELLS = 0.358, 0.0223, 6.3, 3
# Time to the first token of a busy engine, and between the events that follow.
FIRST_S, EVENT_S = 0.7, 0.1
RATE = 40
# "the engine before still works on it 400 ms later"
ALLOWED_S = 0.4


class Model(Engine):
    """Writes an event each 100 ms; spoils some streams while `is_spoiling`."""

    is_spoiling = False

    async def _run(self, reader, writer, run):
        # A request is dropped when its connection closes.
        running = asyncio.create_task(self.run(writer, run))
        running.add_done_callback(lambda task: task.cancelled() or task.exception())
        closing = asyncio.create_task(reader.read(1))
        closing.add_done_callback(lambda task: task.cancelled() or task.exception())
        await asyncio.wait({running, closing}, return_when=asyncio.FIRST_COMPLETED)
        if not running.done():
            run["ended"] = self.record.now()
            self.record.line(f"engine {self.name} drops {run['id']}: its connection has closed")
            running.cancel()
            raise ConnectionResetError
        closing.cancel()

    async def run(self, writer, run):
        head = run["head"]
        last = int(head.get("last-event-id", "0"))
        count = int(head.get("x-lacewingpost-token-counts").split(",")[1]) // 5
        await asyncio.sleep(FIRST_S)
        writer.write(("HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n" + self.fields(run)
                      + "Connection: close\r\nTransfer-Encoding: chunked\r\n\r\n").encode())
        spoils = self.is_spoiling and random.random() < SPOILED
        spoiled_at = random.randint(last + 2, last + 6) if spoils else 0
        for number in range(last + 1, count + 1):
            event = f"id: {number}\ndata: {self.version}\n\n".encode()
            if number == spoiled_at:
                self.record.line(f"engine {self.name} spoils event {number} of {run['id']}")
                run["spoiled"] = True
                writer.write(b"\x00these bytes are no chunk\r\n")
            else:
                writer.write(b"%x\r\n%s\r\n" % (len(event), event))
            await writer.drain()
            await asyncio.sleep(EVENT_S)
        writer.write(b"0\r\n\r\n")
        await writer.drain()
        writer.close()


CONFIG = {
    "version": 1,
    "routes": [
        {"name": "r-resume", "host": "h.example", "prefix": "/resume/", "kind": "stream",
         "timeout_ms": 8000, "target_latency_ms": 600, "priority": 0, "service": "llm",
         "max_attempts": 2, "allow_anonymous": False, "session_affinity": True,
         "resume_streams": True, "gap_target_ms": 400}],
    "services": [{"name": "llm", "health_path": "/health", "connection_limit": 370,
                  "protocol": "h1", "tls": False,
                  "engine": {"slots": 64, "kv_cache_tokens": 508163, "kv_token_bytes": 327680,
                             "bandwidth_mbps": 550000.0, "moves": False, "backups": False,
                             "stride": 5, "models": [{"name": "m"}]}}],
    "limits": {"header_bytes": 16384, "body_bytes": 4194304, "header_timeout_ms": 3000,
               "idle_ms": 15000},
    "tenants": [{"name": "t", "api_keys": ["key-of-t"], "priority": 1, "prepaid": 100000000}],
}


async def case(scratch, record, instances):
    store = Store(record)
    await store.start()
    store.put("op", "config", CONFIG)
    engines = [Model(f"i-{number}", "llm", store, record) for number in range(ENGINES)]
    for engine in engines:
        await engine.start()
    instance = Instance(scratch, store, record)
    instances.append(instance)
    instance.start()
    await instance.wait_ready()
    await asyncio.sleep(8)
    clients = []

    async def traffic():
        while True:
            prefix = f"{random.getrandbits(32):x}:500,{random.getrandbits(32):x}:500"
            clients.append(asyncio.create_task(request_stream(
                instance, record, "/resume/a", "key-of-t", (1000, 100), prefix, 8000)))
            await asyncio.sleep(1 / RATE)

    sending = asyncio.create_task(traffic())
    await asyncio.sleep(3)
    for _ in range(SPELLS):
        spoiling = engines[:round(SHARE * ENGINES)] if TROUBLE else []
        for engine in spoiling:
            engine.is_spoiling = True
        await asyncio.sleep(FOR_S)
        for engine in spoiling:
            engine.is_spoiling = False
        await asyncio.sleep(4)
    sending.cancel()
    streams = await asyncio.gather(*clients)
    await asyncio.sleep(0.5)

    if sum(bool(stream.events) for stream in streams) < len(streams) / 2:
        raise CannotRun("too few streams began")
    runs = {}
    for engine in engines:
        for run in engine.runs:
            runs.setdefault(run["id"], []).append(run)
    broken, resumed = [], 0
    for request, of_request in runs.items():
        of_request.sort(key=lambda run: run["began"])
        for before, after in zip(of_request, of_request[1:]):
            resumed += 1
            overlap = before["ended"] - after["began"]
            record.line(f"{request} reached {after['engine']} while {before['engine']} worked on it "
                        f"for another {overlap * 1000:.0f} ms")
            if overlap > ALLOWED_S:
                broken.append(f"TWICE: {request} went on at {after['engine']} while "
                              f"{before['engine']} worked on it for {overlap * 1000:.0f} ms more")
    print(f"{len(streams)} streams, {resumed} went on elsewhere, {len(broken)} too early")
    return broken


main(FOLDER, case)

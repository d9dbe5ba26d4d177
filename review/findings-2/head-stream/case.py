"""HEAD requests on a stream route, and requests that follow on the same connections.

A response to HEAD has no body, also with `Transfer-Encoding` (RFC 9110, 9.3.2; RFC 9112, 6.3). The
client reads strictly: after the head of such a response it expects the next one. Without the
disruption, the first request of each connection is a GET.
"""

import asyncio
import os
import sys

sys.path.insert(0, os.path.join(os.path.dirname(os.path.dirname(os.path.dirname(os.path.abspath(__file__)))), "lib-3"))
import lab
from lab import route

CONNECTIONS = 10


async def case(bench):
    record = bench.record
    await bench.open_store()

    async def work(engine, writer, method, path, fields, body):
        if method == "HEAD":
            writer.write(engine.head(fields) + b"Content-Type: text/event-stream\r\n"
                         b"Transfer-Encoding: chunked\r\n\r\n")
            await writer.drain()
        else:
            await engine.stream(writer, fields, 4, 0.01)

    for number in range(4):
        await bench.open_engine("i-%d" % number, "llm", work)
    bench.configure([route("tag", "stream", "llm", session_affinity=True)],
                    [{"name": "llm", "engine": {"stride": 5, "kv_cache_tokens": 399398}}],
                    [{"name": "tenant", "api_keys": ["key"], "prepaid": 10 ** 9}])
    machine = await bench.open_machine(1)
    if not await machine.await_ready():
        raise RuntimeError("the instance is not ready")
    await asyncio.sleep(1)
    wrong = 0
    for number in range(CONNECTIONS):
        reader, writer = await asyncio.open_connection(machine.ip, 8227)
        for step, method in enumerate(("HEAD" if lab.TROUBLE else "GET", "GET")):
            name = "r%d-%d" % (number, step)
            writer.write(("%s /tag/1 HTTP/1.1\r\nHost: h.example\r\nX-Lacewingpost-Attempt-Id: %s\r\n"
                          "X-Lacewingpost-Deadline-Milliseconds: 3000\r\nApi-Key: key\r\n"
                          "X-Lacewingpost-Model: m\r\nX-Lacewingpost-Token-Counts: 20,40\r\n"
                          "X-Lacewingpost-Prompt-Prefix: a:10,b%d:10\r\n\r\n"
                          % (method, name, number)).encode())
            line = (await asyncio.wait_for(reader.readline(), 5)).decode().strip()
            if not line.startswith("HTTP/1.1 "):
                record("%s %s: the bytes %r stand where the answer is due" % (method, name, line))
                wrong += 1
                break
            fields = {}
            while True:
                text = (await asyncio.wait_for(reader.readline(), 5)).decode().strip()
                if not text:
                    break
                key, _, value = text.partition(":")
                fields[key.lower()] = value.strip()
            record("%s %s is answered %s, id %s" % (method, name, line, fields.get(lab.ID)))
            while method == "GET":
                size = int((await reader.readline()).strip(), 16)
                await reader.readexactly(size + 2)
                if size == 0:
                    break
            await asyncio.sleep(0.1)
        writer.close()
    record("runs at engines", [run[1] for engine in bench.engines for run in engine.runs])
    record("connections with bytes that are no answer: %d of %d" % (wrong, CONNECTIONS))
    return wrong > 0


lab.run(__file__, case)

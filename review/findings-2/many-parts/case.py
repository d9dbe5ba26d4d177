"""Requests inside the limits whose prompts have many parts, at one instance.

The requests differ from ordinary ones only in the number of entries of one header field; each head
stays under `header_bytes`. The platform's rule that ends a process above `memory_mb` is applied by
this script. Without the disruption the same number of requests is sent with three parts each.
"""

import asyncio
import os
import signal
import sys
import time

sys.path.insert(0, os.path.join(os.path.dirname(os.path.dirname(os.path.dirname(os.path.abspath(__file__)))), "lib-3"))
import lab
from lab import Client, route

SECONDS = 36
RATE = 50  # Requests a second; the machine of these settings is laid out for 200.
MEMORY_MB = 110
PARTS = 2500 if lab.TROUBLE else 3
HEADER_BYTES = 16384


async def case(bench):
    record = bench.record
    await bench.open_store()

    async def work(engine, writer, method, path, fields, body):
        await engine.stream(writer, fields, 6, 0.05)

    for number in range(4):
        await bench.open_engine("i-%d" % number, "llm", work)
    bench.configure(
        [route("tag", "stream", "llm", session_affinity=True)],
        [{"name": "llm", "engine": {"stride": 5, "kv_cache_tokens": 399398}}],
        [{"name": "tenant", "api_keys": ["key"], "prepaid": 10 ** 9}],
        limits={"header_bytes": HEADER_BYTES, "body_bytes": 4194304, "header_timeout_ms": 3000,
                "idle_ms": 15000})
    machine = await bench.open_machine(1, memory_mb=MEMORY_MB)
    if not await machine.await_ready():
        raise RuntimeError("the instance is not ready")
    await asyncio.sleep(1)

    answers, killed, idle = [], [], []

    async def send(number):
        request_id = "r%d" % number
        # A part is one token here; ids repeat between prompts, as shared parts do.
        parts = ",".join("%x:1" % ((number * 7 + index) % 4096) for index in range(PARTS))
        fields = [("X-Lacewingpost-Model", "m"), ("X-Lacewingpost-Token-Counts", "%d,30" % PARTS),
                  ("X-Lacewingpost-Prompt-Prefix", parts)]
        assert sum(len(name) + len(value) + 4 for name, value in fields) + 300 < HEADER_BYTES
        # Clients keep their connections; a new one serves a request before it counts as kept.
        client, is_kept = (idle.pop(), True) if idle else (Client(machine), False)
        try:
            status, _, text, whole = await client.request(
                "POST", "/tag/1", request_id, "key", 8000, fields, b"x" * 1000)
        except (OSError, asyncio.TimeoutError):
            status, text, whole = 0, b"", False
        if client.writer is not None:
            idle.append(client)
        answers.append((request_id, status, whole, is_kept))
        record("%s is answered %d, %s" % (request_id, status, "whole" if whole else "not whole"))

    async def watch():
        peak = 0
        while True:
            size = machine.memory()
            if size > MEMORY_MB * 1_000_000:
                record("the process has %.1f MB on a machine with %d MB: the platform kills it"
                       % (size / 1e6, MEMORY_MB))
                killed.append(size)
                await machine.kill()
                await asyncio.sleep(0.5)
                await machine.start()
                record("the platform has started it again")
            elif not machine.is_running:
                record("the process has ended by itself:", machine.process.returncode)
                killed.append(0)
                await machine.start()
            if size > peak + 5_000_000:
                peak = size
                record("%d requests sent, resident memory %.1f MB" % (len(tasks), size / 1e6))
            await asyncio.sleep(0.05)

    tasks = []
    watcher = asyncio.ensure_future(watch())
    begin = time.monotonic()
    while time.monotonic() < begin + SECONDS:
        tasks.append(asyncio.ensure_future(send(len(tasks))))
        await asyncio.sleep(max(0.0, begin + len(tasks) / RATE - time.monotonic()))
    await asyncio.gather(*tasks)
    watcher.cancel()
    runs = set(run[1] for engine in bench.engines for run in engine.runs)
    lost = [name for name, _, complete, is_kept in answers
            if not complete and is_kept and name in runs]
    record("sent %d, runs at engines %d, answered whole %d, statuses %s" % (
        len(answers), len(runs), sum(1 for answer in answers if answer[2]),
        sorted(set(answer[1] for answer in answers))))
    record("ends for want of memory: %d; peak of the last process %.1f MB"
           % (len(killed), machine.memory("VmHWM") / 1e6))
    record("passed on from a kept connection that was closed without a whole answer: %d" % len(lost),
           lost)
    return len(lost) > 3


lab.run(__file__, case)

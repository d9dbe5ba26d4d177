"""Requests inside the limits with more than 96 header fields, in calm."""

import asyncio
import os
import sys

sys.path.insert(0, os.path.join(os.path.dirname(os.path.dirname(os.path.dirname(os.path.abspath(__file__)))), "lib-3"))
import lab
from lab import Client, route


async def case(bench):
    record = bench.record
    await bench.open_store()

    async def work(engine, writer, method, path, fields, body):
        await engine.answer(writer, fields, b"done", 0.01)

    for number in range(3):
        await bench.open_engine("i-%d" % number, "api", work, slots=6)
    bench.configure([route("confirm", "unsafe", "api", 1500)], [{"name": "api"}],
                    [{"name": "tenant", "api_keys": ["key"], "prepaid": 10 ** 9}])
    machine = await bench.open_machine(1)
    if not await machine.await_ready():
        raise RuntimeError("the instance is not ready")
    await asyncio.sleep(1)
    statuses = []
    for number in range(100):
        many = lab.TROUBLE and number % 5 == 0
        fields = [("X-F%d" % index, "1") for index in range(120 if many else 10)]
        status, _, _, _ = await Client(machine).request(
            "POST", "/confirm/1", "r%d" % number, "key", 1500, fields, b"x" * 600)
        size = sum(len(name) + len(value) + 4 for name, value in fields) + 150
        statuses.append(status)
        record("r%d with %d further fields, a head of about %d bytes, is answered %d"
               % (number, len(fields), size, status))
    refused = sum(1 for status in statuses if 300 <= status < 500 and status not in (408, 421, 429))
    record("ended with a 3xx or 4xx of the instance: %d of %d" % (refused, len(statuses)))
    return refused > 5 + len(statuses) / 500


lab.run(__file__, case)

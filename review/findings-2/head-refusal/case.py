"""After a HEAD request that fails, its connection brings bytes that belong to no answer.

One instance, three engines of a service that also answers HEAD. Clients keep their connections
open, and send mostly HEAD requests on a route whose requests are safe. For some seconds,
engines lose the answers of some of the requests that they ran: they reset the connection.
"""

import asyncio
import os
import random
import sys

FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(os.path.dirname(os.path.dirname(FOLDER)), "lib-2"))

from standin import (TROUBLE, CannotRun, Engine, Instance, Store, attempt_id, main,  # noqa: E402
                     read_head, reset)

CLIENTS = 20
REQUESTS = 80
# The site's largest dose: answer_lost, how = "reset", share = 0.6, x = 0.4, for_s = 4.0.
SHARE, LOST, FOR_S = 0.6, 0.4, 4


class Plain(Engine):
    """Answers after some milliseconds; loses some answers while `is_losing`."""

    is_losing = False

    async def run(self, writer, run):
        await asyncio.sleep(random.uniform(0.005, 0.025))
        if self.is_losing and random.random() < LOST:
            self.record.line(f"engine {self.name} loses the answer to {run['id']}")
            return reset(writer)
        body = f"answer to {run['id']}\n".encode()
        writer.write(("HTTP/1.1 200 OK\r\nContent-Type: text/plain\r\n" + self.fields(run)
                      + f"Content-Length: {len(body)}\r\n\r\n").encode())
        # An answer to HEAD has no body (RFC 9110, 9.3.2).
        if run["method"] != "HEAD":
            writer.write(body)


CONFIG = {
    "version": 1,
    "routes": [
        {"name": "r-status", "host": "h.example", "prefix": "/status/", "kind": "safe",
         "timeout_ms": 800, "target_latency_ms": 100, "priority": 2, "service": "api",
         "max_attempts": 1, "allow_anonymous": False, "session_affinity": False,
         "resume_streams": False}],
    "services": [{"name": "api", "health_path": "/health", "connection_limit": 96,
                  "protocol": "h1", "tls": False}],
    "limits": {"header_bytes": 16384, "body_bytes": 4194304, "header_timeout_ms": 3000,
               "idle_ms": 15000},
    "tenants": [{"name": "t", "api_keys": ["key-of-t"], "priority": 1, "prepaid": 100000000}],
}


class Client:
    """Sends requests one after another, on a kept connection while it lasts."""

    def __init__(self, instance, record):
        self.instance, self.record = instance, record
        self.reader = self.writer = None
        self.answers, self.broken = [], []

    async def request(self, method):
        if self.writer is None:
            self.reader, self.writer = await asyncio.open_connection(*self.instance.host_port)
        request = attempt_id()
        self.writer.write((f"{method} /status/{random.getrandbits(20):x} HTTP/1.1\r\n"
                           f"Host: h.example\r\nX-Lacewingpost-Attempt-Id: {request}\r\n"
                           "X-Lacewingpost-Deadline-Milliseconds: 1500\r\n"
                           "Api-Key: key-of-t\r\n\r\n").encode())
        self.record.line(f"client sends {request} {method}")
        async with asyncio.timeout(4):
            head = await read_head(self.reader)
            words = head.first.split(" ")
            if words[0] != "HTTP/1.1" or not words[1].isdigit():
                self.broken.append(f"where the answer to {request} ({method}) is due come the "
                                   f"bytes {head.first[:60]!r}")
                self.record.line(self.broken[-1])
                return self.close()
            body = b""
            if method != "HEAD":
                body = await self.reader.readexactly(int(head.get("content-length", "0")))
        status = int(words[1])
        self.answers.append(status)
        self.record.line(f"client gets {status} for {request}, body {body[:40]!r}")
        if status == 200 and method == "GET" and body != f"answer to {request}\n".encode():
            self.broken.append(f"{request} got another body: {body[:60]!r}")
        if head.get("connection", "").lower() == "close":
            self.close()

    def close(self):
        if self.writer is not None:
            self.writer.close()
        self.reader = self.writer = None

    async def run(self):
        for number in range(REQUESTS):
            try:
                await self.request("GET" if number % 8 == 7 else "HEAD")
            except (OSError, asyncio.IncompleteReadError, TimeoutError) as error:
                self.record.line(f"client loses its connection: {type(error).__name__}")
                self.close()
            await asyncio.sleep(random.uniform(0.05, 0.15))
        self.close()


async def case(scratch, record, instances):
    store = Store(record)
    await store.start()
    store.put("op", "config", CONFIG)
    engines = [Plain(f"i-{number}", "api", store, record, slots=6) for number in range(3)]
    for engine in engines:
        await engine.start()
    instance = Instance(scratch, store, record)
    instances.append(instance)
    instance.start()
    await instance.wait_ready()
    await asyncio.sleep(2)
    clients = [Client(instance, record) for _ in range(CLIENTS)]
    running = [asyncio.create_task(client.run()) for client in clients]
    await asyncio.sleep(2)
    losing = engines[:round(SHARE * len(engines))] if TROUBLE else []
    for engine in losing:
        engine.is_losing = True
    record.line(f"{len(losing)} engines begin to lose answers")
    await asyncio.sleep(FOR_S)
    for engine in losing:
        engine.is_losing = False
    record.line("no engine loses answers any more")
    await asyncio.gather(*running)

    answers = [status for client in clients for status in client.answers]
    broken = [text for client in clients for text in client.broken]
    counts = {status: answers.count(status) for status in sorted(set(answers))}
    print(f"answers by status: {counts}; {len(broken)} broken")
    record.line(f"answers by status: {counts}")
    if counts.get(200, 0) < 100:
        raise CannotRun("too few requests were served")
    return [f"MIXED: {text}" for text in broken]


main(FOLDER, case)

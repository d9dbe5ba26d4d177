"""Stand-ins of engines: streams of events, and plain answers."""

import asyncio
import json
import time

from standin import HEARTBEAT_S, abort, read_body, read_head


class Engine:
    """An engine that answers streams; it keeps its id and its address over restarts.

    `entry_lag_s` is the time from the moment at which the engine states an entry until the store
    shows it.
    """

    def __init__(self, store, record, service, name, address, version="v1", zone="z0", slots=64,
                 entry_lag_s=0.0, first_event_s=0.06, event_s=0.03):
        self.store, self.record = store, record
        self.service, self.name, self.address = service, name, address
        self.version, self.zone, self.slots = version, zone, slots
        self.entry_lag_s = entry_lag_s
        self.first_event_s, self.event_s = first_event_s, event_s
        self.sequence = 0
        self.born = 0
        self.running = 0
        self.state = "ready"
        self.server = None
        self.beat = None
        self.writers = set()
        self.tasks = set()
        self.runs = []
        self.extra_fields = ""

    async def start(self, version=None):
        """Accepts connections, and states the entry at the same moment."""
        if version:
            self.version = version
        self.born = int(time.time() * 1000)
        self.sequence = 0
        self.running = 0
        host, port = self.address
        self.server = await asyncio.start_server(
            self.accept, host, port, limit=1 << 22, reuse_address=True)
        self.record.write(f"engine {self.name} starts, version {self.version}, born {self.born}")
        self.beat = asyncio.ensure_future(self.heartbeat())

    async def heartbeat(self):
        while True:
            self.sequence += 1
            entry = {
                "service": self.service, "address": f"{self.address[0]}:{self.address[1]}",
                "zone": self.zone, "version": self.version, "slots": self.slots,
                "state": self.state, "cold_remaining_ms": 0, "sequence": self.sequence,
                "born": self.born, "stage": "unified",
                "models": [{"name": "m", "version": 1, "adapters": []}],
            }
            asyncio.get_running_loop().call_later(self.entry_lag_s, self.show, entry)
            await asyncio.sleep(HEARTBEAT_S)

    def show(self, entry):
        if entry["born"] == self.born:
            self.store.put("servers", self.name, entry)
            if entry["sequence"] == 1:
                self.record.write(f"entry of {self.name} in the store, version {entry['version']}")

    async def kill(self):
        """Ends the process: its connections and its heartbeat are gone, its entry stays."""
        self.record.write(f"engine {self.name} ends with {self.running} running")
        self.beat.cancel()
        self.server.close()
        for writer in list(self.writers):
            abort(writer)
        for task in list(self.tasks):
            task.cancel()
        await asyncio.sleep(0)

    async def accept(self, reader, writer):
        task = asyncio.current_task()
        self.tasks.add(task)
        self.writers.add(writer)
        try:
            while await self.serve(reader, writer):
                pass
        except (ConnectionError, asyncio.IncompleteReadError, asyncio.CancelledError):
            pass
        finally:
            self.tasks.discard(task)
            self.writers.discard(writer)
            writer.close()

    def load(self):
        return f"X-Lacewingpost-Server-Load: {self.running},0,{self.slots}\r\n" + self.extra_fields

    async def serve(self, reader, writer):
        head = await read_head(reader)
        if head is None:
            return False
        line, fields = head
        body = await read_body(reader, fields)
        method, path, _ = line.split(" ", 2)
        if path == "/health":
            writer.write((f"HTTP/1.1 200 OK\r\nX-Lacewingpost-Instance-Id: {self.name}\r\n"
                          f"{self.load()}Content-Length: 0\r\n\r\n").encode())
            return True
        attempt = fields.get("x-lacewingpost-attempt-id")
        expected = fields.get("x-lacewingpost-expect-instance")
        echo = f"X-Lacewingpost-Attempt-Id: {attempt}\r\n"
        if expected not in (None, self.name):
            writer.write((f"HTTP/1.1 421 Misdirected Request\r\n{echo}"
                          f"X-Lacewingpost-Instance-Id: {self.name}\r\n"
                          f"X-Lacewingpost-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n").encode())
            return True
        if self.running >= self.slots:
            writer.write((f"HTTP/1.1 503 Service Unavailable\r\n{echo}{self.load()}"
                          f"X-Lacewingpost-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n").encode())
            return True
        self.running += 1
        born = self.born
        self.runs.append((attempt, time.monotonic(), path, fields, body))
        try:
            return await self.run(reader, writer, attempt, echo, fields, body)
        finally:
            if born == self.born:
                self.running -= 1

    async def run(self, reader, writer, attempt, echo, fields, body):
        """Answers with the events after the one that the request names."""
        last = int(fields.get("last-event-id", "0"))
        count = json.loads(body)["events"]
        self.record.write(f"engine {self.name} ({self.version}) runs {attempt} after event {last}")
        await asyncio.sleep(self.first_event_s)
        writer.write((f"HTTP/1.1 200 OK\r\n{echo}X-Lacewingpost-Response-Signature: s.{attempt}\r\n"
                      f"X-Lacewingpost-Weight-Versions: 1\r\n{self.load()}"
                      "Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n"
                      ).encode())
        for number in range(last + 1, count + 1):
            event = f"id: {number}\ndata: {self.version} {self.name} {number}\n\n".encode()
            writer.write(f"{len(event):x}\r\n".encode() + event + b"\r\n")
            await writer.drain()
            if writer.transport.is_closing():
                return False
            if number < count:
                await asyncio.sleep(self.event_s)
        writer.write(b"0\r\n\r\n")
        await writer.drain()
        return True


class PlainEngine(Engine):
    """An engine of a plain service; the body `crash` ends it as soon as it begins to run it.

    It is back after some seconds under another id, and its old entry lapses after three heartbeats.
    """

    def __init__(self, *arguments, work_s=0.015, down_s=3.0, **keywords):
        super().__init__(*arguments, **keywords)
        self.work_s, self.down_s = work_s, down_s
        self.starts = 1
        self.crashes = []

    async def run(self, reader, writer, attempt, echo, fields, body):
        if body == b"crash":
            self.crashes.append((time.monotonic(), attempt))
            self.record.write(f"engine {self.name} of {self.service} crashes on {attempt}, "
                              f"{self.running - 1} others break off")
            asyncio.ensure_future(self.crash())
            await asyncio.sleep(60)
        await asyncio.sleep(self.work_s)
        text = f"{self.name} ran {attempt}".encode()
        writer.write((f"HTTP/1.1 200 OK\r\n{echo}X-Lacewingpost-Response-Signature: s.{attempt}\r\n"
                      f"{self.load()}Content-Length: {len(text)}\r\n\r\n").encode() + text)
        await writer.drain()
        return True

    async def crash(self):
        name = self.name
        await self.kill()
        asyncio.get_running_loop().call_later(3 * HEARTBEAT_S, self.store.remove, "servers", name)
        await asyncio.sleep(self.down_s)
        self.starts += 1
        self.name = f"{name.rsplit('.', 1)[0]}.{self.starts}"
        await self.start()


class CrashingEngine(Engine):
    """A model engine that crashes when it begins to write an answer on a certain prompt part."""

    def __init__(self, *arguments, crashing_part="", down_s=3.0, **keywords):
        super().__init__(*arguments, **keywords)
        self.crashing_part, self.down_s = crashing_part, down_s
        self.starts = 1
        self.crashes = []

    async def run(self, reader, writer, attempt, echo, fields, body):
        prefix = fields.get("x-lacewingpost-prompt-prefix", "")
        parts = [entry.split(":")[0] for entry in prefix.split(",")]
        if self.crashing_part in parts[:-1]:
            await asyncio.sleep(self.first_event_s)
            self.crashes.append((time.monotonic(), attempt))
            self.record.write(f"engine {self.name} crashes on {attempt}, "
                              f"{self.running - 1} others break off")
            asyncio.ensure_future(self.crash())
            await asyncio.sleep(60)
        return await super().run(reader, writer, attempt, echo, fields, body)

    crash = PlainEngine.crash

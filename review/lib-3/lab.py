"""Stand-ins of the platform's store, of engines and of clients, and the processes under test.

All stand-ins run in one event loop. They follow the pages of the users: the store is linearizable,
engines echo the request id and sign their answers, clients send one request at a time.
"""

import asyncio
import base64
import json
import os
import random
import resource
import shutil
import signal
import sys
import tempfile
import time
from urllib.parse import parse_qs, unquote, urlsplit

ROOT = os.path.dirname(os.path.dirname(os.path.dirname(os.path.abspath(__file__))))
PROGRAM = os.path.join(ROOT, "target", "release", "lacewing-platform")
TROUBLE = os.environ.get("TROUBLE", "1") != "0"

ID = "x-lacewingpost-attempt-id"
BOUNDS = """
seed_lag_s = 3
reuse_delay_s = 2
stable_window_ms = 3000
acknowledge_ms = 4000
catch_up_s = 4
drain_ms = 2000
grace_s = 8
loss_slack_ms = 200
config_propagation_ms = 2000
rollback_slack_ms = 250
stretch_ms = 5000
strict_revocation = false
revocation_ms = 5000
budget_ratio = 0.2
budget_window_s = 10
retry_slack = 52
recovery_s = 12
pass_ms = 120
retry_after_s = 8.5
settle_ms = 1500
ttl_max_s = 5
"""
SETTINGS = """node_name = "{name}"
role = "router"
machine_class = "front"
serves = ["front", "directory"]
ip = "{ip}"
zone = "{zone}"
region = "ec-quito"
internal_ports = [7340, 7355]
seeds = []
bootstrap = {bootstrap}
counts_toward_tolerance = false
discovery = "platform"
entry = "directory"
heartbeat_ms = 1200
contracts = ["base", "drain", "config", "cost", "retry", "recover", "engine", "stream", "tenants", "platform"]
[zones]
quito-a = "ec-quito"
quito-b = "ec-quito"
quito-c = "ec-quito"
[listen_addresses]
front = "{ip}:8227"
ready = "{ip}:8220"
directory = "{ip}:8224"
[limits]
cpu_share = 0.25
cores = 1
memory_mb = {memory_mb}
file_descriptors = 4100
bandwidth_mbps = 1000.0
disk_mb = 0
[fault_tolerance]
machines = 1
zones = 0
regions = 0
[bounds]{bounds}
[platform]
address = "{store}"
form = "table"
writes_per_s = 600
reads_per_s = 2000
transaction_ms = 5.0
part_writes_per_s = 200
row_bytes = 65536
spanning = false
history_s = 20
blob_bytes = 8388608
blob_ms = 25.0
blob_mb_per_s = 80.0
"""


class Record:
    """The file `record.txt` of a case."""

    def __init__(self, folder):
        self.file = open(os.path.join(folder, "record.txt"), "w", buffering=1)
        self.start = time.monotonic()

    def __call__(self, *words):
        line = "%8.3f %s" % (time.monotonic() - self.start, " ".join(str(word) for word in words))
        self.file.write(line + "\n")
        if os.environ.get("VERBOSE"):
            print(line, flush=True)


async def read_head(reader):
    """Reads a head; returns its first line and its fields with lower-case names, None at the end."""
    try:
        raw = await reader.readuntil(b"\r\n\r\n")
    except (asyncio.IncompleteReadError, ConnectionError, asyncio.LimitOverrunError):
        return None
    lines = raw.decode("latin-1").split("\r\n")
    fields = {}
    for line in lines[1:]:
        name, _, value = line.partition(":")
        if name:
            fields[name.strip().lower()] = value.strip()
    return lines[0], fields


async def read_body(reader, fields):
    """Reads a body; raises if the connection ends before it."""
    if fields.get("transfer-encoding", "").lower() == "chunked":
        body = b""
        while True:
            size = int((await reader.readline()).split(b";")[0].strip() or b"x", 16)
            chunk = await reader.readexactly(size + 2)
            if size == 0:
                return body
            body += chunk[:-2]
    return await reader.readexactly(int(fields.get("content-length", "0")))


class Store:
    """The platform's metadata store, with rows, transactions and feeds."""

    def __init__(self):
        self.rows = {}
        self.changes = []
        self.version = 0
        self.began = time.monotonic()
        self.changed = asyncio.Event()
        self.address = None
        # Called with (peer ip, method, path, body); may return a treatment, see `serve`.
        self.treat = lambda ip, method, path, body: None
        self.calls = 0

    async def open(self):
        server = await asyncio.start_server(self.serve, "127.0.0.1", 0, limit=1 << 20)
        self.address = "127.0.0.1:%d" % server.sockets[0].getsockname()[1]
        return self

    def put(self, table, key, value, part=""):
        """Writes a row as the operator or an engine does; the acknowledgement is the return."""
        text = value if isinstance(value, bytes) else json.dumps(value).encode()
        self.version += 1
        self.write((table, part, key), base64.b64encode(text).decode())
        self.wake()

    def remove(self, table, key, part=""):
        self.version += 1
        self.write((table, part, key), None)
        self.wake()

    def wake(self):
        self.changed.set()
        self.changed = asyncio.Event()

    def write(self, place, value):
        row = dict(zip(("table", "part", "key"), place), schema_version=self.version)
        if value is None:
            self.rows.pop(place, None)
            row["removed"] = True
        else:
            self.rows[place] = (value, self.version)
            row["value"] = value
        self.changes.append((self.version, row))

    def item(self, place):
        value, version = self.rows[place]
        return dict(zip(("table", "part", "key"), place), value=value, schema_version=version)

    def value(self, table, part, key):
        """Returns the decoded JSON of a row, None without one."""
        found = self.rows.get((table, part, key))
        return json.loads(base64.b64decode(found[0])) if found else None

    def stamp(self, rows):
        now = int((time.monotonic() - self.began) * 1000)
        return {"rows": rows, "schema_version": self.version, "current_time_ms": now}

    def transact(self, body):
        call = json.loads(body)
        place = lambda entry: (entry["table"], entry.get("part", ""), entry["key"])
        version = lambda entry: self.rows.get(place(entry), (None, 0))[1]
        conditions = call.get("precondition", [])
        if any(entry["schema_version"] != version(entry) for entry in conditions):
            found = [self.item(place(entry)) for entry in conditions if place(entry) in self.rows]
            return 412, self.stamp(found)
        self.version += 1
        for entry in call.get("writes", []):
            self.write(place(entry), entry["value"])
        for entry in call.get("remove", []):
            self.write(place(entry), None)
        self.wake()
        return 200, self.stamp([])

    def range(self, query):
        table, part = query.get("table", ""), query.get("part", "")
        first, last = query.get("from", ""), query.get("to", "")
        places = [place for place in self.rows if place[:2] == (table, part)]
        places = sorted(p for p in places if p[2] >= first and (not last or p[2] < last))
        return 200, self.stamp([self.item(place) for place in places])

    async def feed(self, query):
        after = int(query.get("after_revision", "0"))
        end = time.monotonic() + int(query.get("wait_ms", "0")) / 1000
        while True:
            changed = self.changed
            rows = [r for v, r in self.changes if v > after and r["table"] == query["table"]]
            left = end - time.monotonic()
            if rows or left <= 0:
                return 200, self.stamp(rows)
            try:
                await asyncio.wait_for(changed.wait(), left)
            except asyncio.TimeoutError:
                pass

    async def serve(self, reader, writer):
        try:
            ip = writer.get_extra_info("peername")[0]
            while True:
                head = await read_head(reader)
                if head is None:
                    break
                body = await read_body(reader, head[1])
                method, target, _ = head[0].split(" ", 2)
                url = urlsplit(target)
                query = {k: v[0] for k, v in parse_qs(url.query, keep_blank_values=True).items()}
                self.calls += 1
                treatment = self.treat(ip, method, url.path, body)
                if treatment == "busy":
                    answer = 503, {}
                elif treatment == "silent":
                    await asyncio.sleep(3600)
                elif url.path.endswith("/rows-tx"):
                    await asyncio.sleep(0.004)
                    answer = self.transact(body)
                    if treatment == "lost":
                        break
                elif url.path.endswith("/rows-get"):
                    await asyncio.sleep(0.004)
                    answer = self.range(query)
                elif url.path.endswith("/rows-feed"):
                    answer = await self.feed(query)
                else:
                    answer = 404, {}
                text = json.dumps(answer[1]).encode()
                writer.write(b"HTTP/1.1 %d X\r\nContent-Type: application/json\r\n"
                             b"Content-Length: %d\r\n\r\n" % (answer[0], len(text)) + text)
                await writer.drain()
        except (ConnectionError, asyncio.IncompleteReadError, ValueError):
            pass
        finally:
            writer.close()


class Engine:
    """An engine of one service: runs each request with `work`, and notes each run."""

    def __init__(self, store, name, service, work, zone="quito-a", slots=64, version="v1"):
        self.store, self.name, self.service, self.work = store, name, service, work
        self.zone, self.slots, self.version = zone, slots, version
        self.born = int(time.time() * 1000)
        self.sequence = 0
        self.runs = []  # (time, request id, path, fields, body)
        self.running = 0
        self.state = "ready"
        self.is_registered = True

    async def open(self, host="127.0.0.1"):
        self.server = await asyncio.start_server(self.serve, host, 0, limit=1 << 20)
        self.address = "%s:%d" % (host, self.server.sockets[0].getsockname()[1])
        asyncio.ensure_future(self.beat())
        return self

    async def beat(self):
        while self.is_registered:
            self.register()
            await asyncio.sleep(1.2)

    def register(self):
        self.sequence += 1
        self.store.put("servers", self.name, {
            "service": self.service, "address": self.address, "zone": self.zone,
            "version": self.version, "slots": self.slots, "state": self.state,
            "cold_remaining_ms": 0, "sequence": self.sequence, "born": self.born})

    async def serve(self, reader, writer):
        try:
            while True:
                head = await read_head(reader)
                if head is None:
                    break
                line, fields = head
                body = await read_body(reader, fields)
                method, path, _ = line.split(" ", 2)
                if path == "/lacewingpost/report":
                    text = json.dumps({"stage": "unified", "models": [], "busy": False, "sequence": 1,
                                       "queue_depth": 0, "running_requests": self.running,
                                       "kv_cache_used": 0, "kv_cache_capacity": 400000, "handles": 0,
                                       "born": self.born}).encode()
                    writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n" % len(text) + text)
                    await writer.drain()
                    continue
                if fields.get("x-lacewingpost-expect-instance", self.name) != self.name:
                    writer.write(("HTTP/1.1 421 Misdirected Request\r\nX-Lacewingpost-Instance-Id: "
                                  "%s\r\nContent-Length: 0\r\n\r\n" % self.name).encode())
                    await writer.drain()
                    continue
                if ID not in fields:
                    writer.write(b"HTTP/1.1 400 Bad Request\r\nX-Lacewingpost-Not-Executed: 1\r\n"
                                 b"Content-Length: 0\r\n\r\n")
                    await writer.drain()
                    continue
                self.runs.append((time.monotonic(), fields[ID], path, fields, body))
                self.running += 1
                try:
                    if await self.work(self, writer, method, path, fields, body) is False:
                        break
                finally:
                    self.running -= 1
        except (ConnectionError, asyncio.IncompleteReadError, ValueError):
            pass
        finally:
            writer.close()

    def head(self, fields, status="200 OK", extra=""):
        return ("HTTP/1.1 %s\r\nX-Lacewingpost-Attempt-Id: %s\r\n"
                "X-Lacewingpost-Response-Signature: %s\r\n"
                "X-Lacewingpost-Server-Load: %d,0,%d\r\n%s"
                % (status, fields[ID], self.name, self.running, self.slots, extra)).encode()

    async def answer(self, writer, fields, body, delay=0.0):
        await asyncio.sleep(delay)
        writer.write(self.head(fields) + b"Content-Length: %d\r\n\r\n" % len(body) + body)
        await writer.drain()

    async def stream(self, writer, fields, events, gap, size=5):
        """Sends events with increasing ids, after the one that the request names."""
        first = int(fields.get("last-event-id", "0")) + 1
        writer.write(self.head(fields) + b"Content-Type: text/event-stream\r\n"
                     b"Transfer-Encoding: chunked\r\n\r\n")
        for number in range(first, events + 1):
            await asyncio.sleep(gap)
            text = b"id: %d\ndata: %s.%d\n\n" % (number, fields[ID].encode(), number)
            writer.write(b"%x\r\n" % len(text) + text + b"\r\n")
            await writer.drain()
        writer.write(b"0\r\n\r\n")
        await writer.drain()


class Machine:
    """A machine with one process of the router, started as the deploy file says."""

    def __init__(self, lab, number, zone="quito-a", memory_mb=110):
        self.lab, self.number, self.zone, self.memory_mb = lab, number, zone, memory_mb
        self.name = "front-%s-%d" % (zone, number)
        self.ip = "127.%d.%d.%d" % (lab.net[0], lab.net[1], 10 + number)
        self.bootstrap = True
        self.process = None
        self.store = lab.store.address

    async def start(self):
        if self.is_running or self.lab.is_closing:
            raise RuntimeError("the process of the machine runs already, or the case has ended")
        path = os.path.join(self.lab.folder, self.name + ".toml")
        with open(path, "w") as file:
            file.write(SETTINGS.format(name=self.name, ip=self.ip, zone=self.zone, bounds=BOUNDS,
                                       store=self.store, memory_mb=self.memory_mb,
                                       bootstrap=str(self.bootstrap).lower()))
        self.bootstrap = False
        self.log = open(os.path.join(self.lab.folder, self.name + ".log"), "ab")
        env = {k: v for k, v in os.environ.items() if k in ("PATH", "HOME", "LANG")}
        env["LACEWINGPOST_CONFIG"] = path
        self.process = await asyncio.create_subprocess_exec(
            PROGRAM, cwd=ROOT, env=env, stdout=self.log, stderr=self.log,
            stdin=asyncio.subprocess.DEVNULL)
        return self

    @property
    def is_running(self):
        return self.process is not None and self.process.returncode is None

    def signal(self, number):
        if self.is_running:
            self.process.send_signal(number)

    async def kill(self):
        self.signal(signal.SIGKILL)
        await self.process.wait()

    def memory(self, field="VmRSS"):
        """Returns the resident memory in bytes, 0 if the process has ended."""
        try:
            with open("/proc/%d/status" % self.process.pid) as file:
                for line in file:
                    if line.startswith(field + ":"):
                        return int(line.split()[1]) * 1024
        except OSError:
            pass
        return 0

    async def is_ready(self):
        try:
            reader, writer = await asyncio.open_connection(self.ip, 8220)
            writer.write(b"GET /lacewingpost/readiness HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n")
            head = await asyncio.wait_for(read_head(reader), 1.0)
            writer.close()
            return head is not None and " 200 " in head[0] + " "
        except (OSError, asyncio.TimeoutError):
            return False

    async def await_ready(self, limit=15.0):
        end = time.monotonic() + limit
        while time.monotonic() < end:
            if await self.is_ready():
                return True
            await asyncio.sleep(0.1)
        return False


class Client:
    """A client's connection to one machine; sends one request at a time."""

    def __init__(self, machine):
        self.machine, self.reader, self.writer = machine, None, None

    async def connect(self):
        self.reader, self.writer = await asyncio.wait_for(
            asyncio.open_connection(self.machine.ip, 8227, limit=1 << 20), 1.0)
        return self

    def close(self):
        if self.writer is not None:
            self.writer.close()
            self.writer = None

    async def request(self, method, path, request_id, key=None, deadline_ms=8000, fields=(),
                      body=b"", host="h.example", limit=None):
        """Returns (status, fields, body, is_complete); status 0 without an answer."""
        if self.writer is None:
            await self.connect()
        lines = ["%s %s HTTP/1.1" % (method, path), "Host: " + host,
                 "X-Lacewingpost-Attempt-Id: " + request_id,
                 "X-Lacewingpost-Deadline-Milliseconds: %d" % deadline_ms]
        if key:
            lines.append("Api-Key: " + key)
        lines += ["%s: %s" % pair for pair in fields]
        if body or method == "POST":
            lines.append("Content-Length: %d" % len(body))
        status, head, text = 0, {}, b""
        try:
            self.writer.write("\r\n".join(lines).encode() + b"\r\n\r\n" + body)
            await self.writer.drain()

            async def answer():
                nonlocal status, head, text
                found = await read_head(self.reader)
                if found is None:
                    return False
                status, head = int(found[0].split(" ")[1]), found[1]
                if head.get("transfer-encoding", "").lower() == "chunked":
                    while True:
                        size = int((await self.reader.readline()).strip() or b"x", 16)
                        chunk = await self.reader.readexactly(size + 2)
                        if size == 0:
                            return True
                        text += chunk[:-2]
                text = await self.reader.readexactly(int(head.get("content-length", "0")))
                return True

            is_complete = await asyncio.wait_for(answer(), limit or deadline_ms / 1000 + 2)
        except (OSError, ValueError, asyncio.TimeoutError, asyncio.IncompleteReadError):
            is_complete = False
        if not is_complete or head.get("connection", "").lower() == "close":
            self.close()
        return status, head, text, is_complete


class Lab:
    """Store, engines and machines of one case; ends all processes and removes its folder."""

    def __init__(self, case_folder):
        self.record = Record(case_folder)
        self.folder = tempfile.mkdtemp(prefix="lacewing-case-")
        self.machines, self.engines, self.config = [], [], None
        self.is_closing = False
        # Ports are fixed by the settings, so each run uses loopback addresses of its own.
        while True:
            self.net = (random.randint(64, 250), random.randint(1, 250))
            if all(self.is_free("127.%d.%d.%d" % (*self.net, 10 + number)) for number in range(1, 9)):
                break

    @staticmethod
    def is_free(ip):
        import socket
        for port in (8227, 8220, 8224, 7340, 7341, 9464):
            with socket.socket() as probe:
                probe.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
                try:
                    probe.bind((ip, port))
                except OSError:
                    return False
        return True

    async def open_store(self):
        self.store = await Store().open()
        return self.store

    def configure(self, routes, services, tenants=(), version=None, limits=None):
        """Writes a configuration; the store's answer, this return, is the acknowledgement."""
        last = self.config["version"] if self.config else 0
        self.config = {"version": version or last + 7, "routes": routes, "services": services,
                       "tenants": list(tenants),
                       "limits": limits or {"header_bytes": 16384, "body_bytes": 4194304,
                                            "header_timeout_ms": 3000, "idle_ms": 15000}}
        self.store.put("op", "config", self.config)

    async def open_engine(self, *args, **kwargs):
        engine = await Engine(self.store, *args, **kwargs).open()
        self.engines.append(engine)
        return engine

    async def open_machine(self, number, **kwargs):
        machine = Machine(self, number, **kwargs)
        self.machines.append(machine)
        return await machine.start()

    async def close(self):
        self.is_closing = True
        # A start that was under way ends within the pause.
        for _ in range(2):
            for machine in self.machines:
                machine.signal(signal.SIGKILL)
            await asyncio.sleep(0.2)
        if os.environ.get("KEEP"):
            print("kept", self.folder)
        else:
            shutil.rmtree(self.folder, ignore_errors=True)


def route(name, kind, service, timeout_ms=8000, attempts=1, **more):
    return dict({"name": name, "host": "h.example", "prefix": "/%s/" % name, "kind": kind,
                 "timeout_ms": timeout_ms, "target_latency_ms": 600, "service": service,
                 "max_attempts": attempts, "priority": 1}, **more)


def run(file, case, limit=110):
    """Runs `case(lab)`; exits with 1 if it returns True (rule broken), 0 if False, 2 otherwise."""
    if not os.path.exists(PROGRAM):
        print("build first: " + PROGRAM)
        sys.exit(2)

    # The machines of the settings have 4,100 descriptors, and the stand-ins need as many.
    soft, hard = resource.getrlimit(resource.RLIMIT_NOFILE)
    if soft != resource.RLIM_INFINITY and soft < 16384:
        most = hard if hard != resource.RLIM_INFINITY else 16384
        resource.setrlimit(resource.RLIMIT_NOFILE, (min(16384, most), hard))

    async def main():
        # Connections that end with the case are no errors.
        loop = asyncio.get_running_loop()
        loop.set_exception_handler(lambda loop, context: None)
        # A signal ends the case, and with it the processes that it has started.
        task = asyncio.current_task()
        stopped = []

        def stop():
            # A second signal does not interrupt the end of the processes.
            if not stopped:
                stopped.append(True)
                task.cancel()

        for number in (signal.SIGTERM, signal.SIGINT, signal.SIGHUP):
            loop.add_signal_handler(number, stop)
        lab = Lab(os.path.dirname(os.path.abspath(file)))
        try:
            return await asyncio.wait_for(case(lab), limit)
        finally:
            await lab.close()

    try:
        broken = asyncio.run(main())
    except (Exception, asyncio.CancelledError) as error:
        print("could not run: %r" % error)
        sys.exit(2)
    print("rule broken" if broken else "rule held")
    sys.exit(1 if broken else 0)

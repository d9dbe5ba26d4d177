"""Stand-ins of the platform, of engines and of clients, on loopback addresses.

Only Python's standard library is used. All stand-ins of a case run in one process and one event
loop; the project's own program runs as separate processes.
"""

import asyncio
import base64
import json
import os
import random
import shutil
import signal
import socket
import struct
import subprocess
import sys
import tempfile
import time
import urllib.parse

ROOT = os.path.dirname(os.path.dirname(os.path.dirname(os.path.abspath(__file__))))
PROGRAM = "target/release/lacewing-platform"
HEARTBEAT_S = 1.2
# Port of the program's metrics, on the address of its callers.
METRICS_PORT = 9464
TROUBLE = os.environ.get("TROUBLE", "1") != "0"


class Record:
    """Writes what was sent, answered and run, with the seconds since the start of the case."""

    def __init__(self, folder):
        self.file = open(os.path.join(folder, "record.txt"), "w", encoding="utf-8")
        self.started = time.monotonic()

    def now(self):
        return time.monotonic() - self.started

    def line(self, text):
        self.file.write(f"{self.now():8.3f}  {text}\n")
        if "process" in text:
            self.file.flush()

    def close(self):
        self.file.close()


class CannotRun(Exception):
    """The case could not run, so that nothing is shown (exit code 2)."""


# --- HTTP ------------------------------------------------------------------------------------

class Head:
    """First line and header fields of a message; names in lower case."""

    def __init__(self, raw):
        lines = raw.decode("latin-1").split("\r\n")
        self.first = lines[0]
        self.fields = {}
        for line in lines[1:]:
            if ":" in line:
                name, value = line.split(":", 1)
                self.fields[name.strip().lower()] = value.strip()

    def get(self, name, default=None):
        return self.fields.get(name.lower(), default)


async def read_head(reader):
    raw = await reader.readuntil(b"\r\n\r\n")
    return Head(raw[:-4])


async def read_body(reader, head):
    if "chunked" in head.get("transfer-encoding", "").lower():
        body = b""
        while True:
            size = int((await reader.readuntil(b"\r\n"))[:-2].split(b";")[0], 16)
            if size == 0:
                await reader.readuntil(b"\r\n")
                return body
            body += await reader.readexactly(size)
            await reader.readexactly(2)
    return await reader.readexactly(int(head.get("content-length", "0")))


def reset(writer):
    """Closes a connection with a reset."""
    sock = writer.get_extra_info("socket")
    if sock is not None:
        try:
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
        except OSError:
            pass
    writer.transport.abort()


def free_port(host):
    with socket.socket() as sock:
        sock.bind((host, 0))
        return sock.getsockname()[1]


def is_free(host, port):
    with socket.socket() as sock:
        try:
            sock.bind((host, port))
        except OSError:
            return False
        return True


class Server:
    """A listening socket whose connections can be reset all at once."""

    def __init__(self, host, handler):
        self.host, self.handler = host, handler
        self.port = free_port(host)
        self.server = None
        self.tasks, self.writers = set(), set()

    @property
    def address(self):
        return f"{self.host}:{self.port}"

    async def start(self):
        for _ in range(200):
            try:
                self.server = await asyncio.start_server(self._serve, self.host, self.port)
                return
            except OSError:
                await asyncio.sleep(0.01)
        raise CannotRun(f"cannot listen on {self.address}")

    async def _serve(self, reader, writer):
        task = asyncio.current_task()
        self.tasks.add(task)
        self.writers.add(writer)
        writer.get_extra_info("socket").setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        try:
            await self.handler(reader, writer)
        except (asyncio.IncompleteReadError, ConnectionError, asyncio.LimitOverrunError, OSError):
            pass
        except asyncio.CancelledError:
            pass
        finally:
            self.tasks.discard(task)
            self.writers.discard(writer)
            writer.transport.abort()

    def crash(self):
        """Ends the listener and all connections, as the end of the process does."""
        if self.server is not None:
            self.server.close()
            self.server = None
        for writer in list(self.writers):
            reset(writer)
        for task in list(self.tasks):
            task.cancel()


# --- the platform's store ---------------------------------------------------------------------

class Store:
    """Rows, transactions and feeds. While `is_down`, nothing is done and connections are reset."""

    def __init__(self, record, answer_s=0.004):
        self.record, self.answer_s = record, answer_s
        self.server = Server("127.0.0.1", self._serve)
        self.rows, self.changes, self.version = {}, [], 0
        self.is_down = False
        self.changed = asyncio.Event()
        self.opened = time.monotonic()

    async def start(self):
        await self.server.start()

    def set_down(self, is_down):
        self.is_down = is_down
        self._wake()
        self.record.line(f"store {'resets all calls' if is_down else 'serves again'}")

    def _wake(self):
        event, self.changed = self.changed, asyncio.Event()
        event.set()

    def put(self, table, key, value):
        """Writes a row of the empty part, as the operator or an engine does; False while down."""
        if self.is_down:
            return False
        self.version += 1
        text = base64.b64encode(json.dumps(value).encode()).decode()
        self._write((table, "", key), text)
        self._wake()
        return True

    def remove(self, table, key):
        if self.is_down:
            return False
        self.version += 1
        self._write((table, "", key), None)
        self._wake()
        return True

    def _write(self, place, value):
        table, part, key = place
        row = {"table": table, "part": part, "key": key, "schema_version": self.version}
        if value is None:
            row["removed"] = True
            self.rows.pop(place, None)
        else:
            row["value"] = value
            self.rows[place] = (value, self.version)
        self.changes.append((self.version, row))

    def _item(self, place):
        value, version = self.rows[place]
        table, part, key = place
        return {"table": table, "part": part, "key": key, "value": value,
                "schema_version": version}

    def _page(self, rows, has_more=False):
        now_ms = int((time.monotonic() - self.opened) * 1000)
        return {"rows": rows, "schema_version": self.version, "current_time_ms": now_ms,
                "has_more": has_more}

    async def _serve(self, reader, writer):
        while True:
            head = await read_head(reader)
            body = await read_body(reader, head)
            method, target, _ = head.first.split(" ", 2)
            status, answer = await self._answer(method, target, body)
            if status == 0:
                return reset(writer)
            text = json.dumps(answer).encode()
            writer.write(f"HTTP/1.1 {status} X\r\nContent-Type: application/json\r\n"
                         f"Content-Length: {len(text)}\r\n\r\n".encode() + text)
            await writer.drain()

    async def _answer(self, method, target, body):
        await asyncio.sleep(self.answer_s)
        if self.is_down:
            return 0, {}
        parts = urllib.parse.urlsplit(target)
        query = dict(urllib.parse.parse_qsl(parts.query, keep_blank_values=True))
        call = parts.path.rsplit("/", 1)[-1]
        if (method, call) == ("POST", "rows-tx"):
            return self._transact(json.loads(body))
        if (method, call) == ("GET", "rows-get"):
            return self._range(query)
        if (method, call) == ("GET", "rows-feed"):
            return await self._feed(query)
        return 404, {}

    def _transact(self, call):
        place = lambda entry: (entry["table"], entry.get("part", ""), entry["key"])
        entries = call.get("precondition", []) + call.get("writes", []) + call.get("remove", [])
        if len({entry.get("part", "") for entry in entries}) > 1 or len(entries) > 100:
            return 400, {}
        if any(e["table"] in ("op", "servers")
               for e in call.get("writes", []) + call.get("remove", [])):
            return 403, {}
        for entry in call.get("precondition", []):
            found = self.rows.get(place(entry), (None, 0))[1]
            if found != entry["schema_version"]:
                known = [self._item(place(e)) for e in call["precondition"] if place(e) in self.rows]
                return 412, self._page(known)
        self.version += 1
        for entry in call.get("writes", []):
            self._write(place(entry), entry["value"])
        for entry in call.get("remove", []):
            self._write(place(entry), None)
        self._wake()
        return 200, self._page([])

    def _range(self, query):
        table, part = query.get("table", ""), query.get("part", "")
        low, high = query.get("from", ""), query.get("to", "")
        limit = min(int(query.get("limit", "500")), 500)
        keys = sorted(k for t, p, k in self.rows
                      if t == table and p == part and k >= low and (not high or k < high))
        rows = [self._item((table, part, key)) for key in keys[:limit]]
        return 200, self._page(rows, len(keys) > limit)

    async def _feed(self, query):
        table, after = query["table"], int(query["after_revision"])
        until = time.monotonic() + min(int(query.get("wait_ms", "0")), 30_000) / 1000
        while True:
            if self.is_down:
                return 0, {}
            rows = [row for version, row in self.changes if version > after and row["table"] == table]
            left = until - time.monotonic()
            if rows or left <= 0:
                return 200, self._page(rows)
            try:
                await asyncio.wait_for(self.changed.wait(), left)
            except asyncio.TimeoutError:
                pass


# --- engines ----------------------------------------------------------------------------------

class Engine:
    """An engine of one service. Subclasses and fields say what it does out of the ordinary.

    It registers itself at its start and then every heartbeat; the row changes only if more than
    its sequence does. It drops a request when its connection closes.
    """

    def __init__(self, name, service, store, record, slots=64, version="v1", host="127.0.0.1"):
        self.name, self.service, self.store, self.record = name, service, store, record
        self.slots, self.version = slots, version
        # Requests that wait beyond the slots; the site file has 24 at the plain service.
        self.queue = 24
        self.server = Server(host, self._serve)
        self.born = self.sequence = 0
        self.running = 0
        self.listed = None
        self.beat = None
        self.runs = []

    async def start(self, version=None):
        self.version = version or self.version
        self.born = max(int(time.time() * 1000), self.born + 1)
        self.running = 0
        await self.server.start()
        self.record.line(f"engine {self.name} starts as {self.version}, born {self.born}")
        self.beat = asyncio.create_task(self._beat())

    def crash(self):
        self.record.line(f"engine {self.name} ({self.version}) crashes")
        if self.beat is not None:
            self.beat.cancel()
        self.server.crash()

    async def _beat(self):
        while True:
            self.register()
            await asyncio.sleep(HEARTBEAT_S)

    def register(self):
        entry = {"service": self.service, "address": self.server.address, "zone": "z",
                 "version": self.version, "slots": self.slots, "state": "ready",
                 "cold_remaining_ms": 0, "stage": "unified",
                 "models": [{"name": "m", "version": 1, "adapters": []}], "born": self.born}
        if entry == self.listed:
            return
        self.sequence += 1
        if self.store.put("servers", self.name, dict(entry, sequence=self.sequence)):
            self.listed = entry
            self.record.line(f"engine {self.name} registers as {self.version}, born {self.born}")

    async def _serve(self, reader, writer):
        while True:
            head = await read_head(reader)
            body = await read_body(reader, head)
            method, target, _ = head.first.split(" ", 2)
            path = target.split("?")[0]
            if path == "/lacewingpost/report":
                self._plain(writer, 200, json.dumps({
                    "stage": "unified", "models": [{"name": "m", "version": 1, "adapters": []}],
                    "busy": False, "sequence": 0, "queue_depth": 0,
                    "running_requests": self.running, "kv_cache_used": 0,
                    "kv_cache_capacity": 400000, "handles": 0, "born": self.born}))
            elif path == "/health":
                self._plain(writer, 200, "")
            elif head.get("x-lacewingpost-expect-instance") not in (None, self.name):
                self._plain(writer, 421, "")
            elif self.running >= self.slots + self.queue:
                self._plain(writer, 503, "", {"X-Lacewingpost-Not-Executed": "1",
                                              "X-Lacewingpost-Attempt-Id":
                                              head.get("x-lacewingpost-attempt-id", "")})
            else:
                run = {"id": head.get("x-lacewingpost-attempt-id"), "engine": self.name,
                       "version": self.version, "born": self.born, "head": head, "body": body,
                       "method": method, "target": target, "began": self.record.now(),
                       "ended": None}
                self.runs.append(run)
                self.record.line(f"engine {self.name} ({self.version}) runs {run['id']} {method} "
                                 f"{target} after event {head.get('last-event-id', '-')}")
                self.running += 1
                born = self.born
                watch = asyncio.create_task(self._run(reader, writer, run))
                try:
                    await watch
                finally:
                    if born == self.born:
                        self.running -= 1
                    run["ended"] = self.record.now()
            await writer.drain()

    async def _run(self, reader, writer, run):
        await self.run(writer, run)

    async def run(self, writer, run):
        raise NotImplementedError

    def fields(self, run):
        return (f"X-Lacewingpost-Attempt-Id: {run['id']}\r\n"
                f"X-Lacewingpost-Response-Signature: sig.{self.name}.{run['id']}\r\n"
                f"X-Lacewingpost-Server-Load: {self.running},0,{self.slots}\r\n"
                "Keep-Alive: timeout=15\r\n")

    def _plain(self, writer, status, text, fields=None):
        extra = "".join(f"{k}: {v}\r\n" for k, v in (fields or {}).items())
        body = text.encode()
        writer.write(f"HTTP/1.1 {status} X\r\nX-Lacewingpost-Instance-Id: {self.name}\r\n{extra}"
                     f"Content-Length: {len(body)}\r\n\r\n".encode() + body)


# --- the project's own program ----------------------------------------------------------------

class Instance:
    """One process of the deploy file's only role, with the settings of a small deployment."""

    count = 0

    def __init__(self, folder, store, record, zone="z", **bounds):
        Instance.count += 1
        self.name = f"front-{zone}-{Instance.count}"
        # The port of the metrics is fixed, so that each process has an address of its own.
        while True:
            self.ip = ".".join(str(random.randint(2, 250)) for _ in range(4))
            self.ip = "127." + self.ip.split(".", 1)[1]
            first = random.randint(20000, 30000)
            if all(is_free(self.ip, port) for port in (METRICS_PORT, first, first + 1)):
                break
        self.ports = [free_port(self.ip) for _ in range(3)]
        self.record, self.folder = record, folder
        self.path = os.path.join(folder, f"{self.name}.toml")
        self.log_path = os.path.join(folder, f"{self.name}.log")
        figures = {
            "seed_lag_s": 3, "reuse_delay_s": 2, "stable_window_ms": 3000, "acknowledge_ms": 4000,
            "catch_up_s": 4, "drain_ms": 2000, "grace_s": 8, "loss_slack_ms": 200,
            "config_propagation_ms": 2000, "rollback_slack_ms": 250, "stretch_ms": 5000,
            "strict_revocation": "false", "revocation_ms": 5000, "budget_ratio": 0.2,
            "budget_window_s": 10, "retry_slack": 52, "recovery_s": 12, "pass_ms": 120,
            "retry_after_s": 8.5, "settle_ms": 1500, "ttl_max_s": 5} | bounds
        text = f"""node_name = "{self.name}"
role = "router"
machine_class = "front"
serves = ["front","directory"]
ip = "{self.ip}"
zone = "{zone}"
region = "r"
internal_ports = [{first},{first + 15}]
seeds = []
bootstrap = true
counts_toward_tolerance = false
discovery = "platform"
entry = "directory"
heartbeat_ms = 1200
contracts = ["base","drain","config","cost","retry","recover","engine","stream","tenants","platform"]
[zones]
{zone} = "r"
[listen_addresses]
front = "{self.ip}:{self.ports[0]}"
ready = "{self.ip}:{self.ports[1]}"
directory = "{self.ip}:{self.ports[2]}"
[limits]
cpu_share = 0.25
cores = 1
memory_mb = 110
file_descriptors = 4100
bandwidth_mbps = 1000.0
disk_mb = 0
[fault_tolerance]
machines = 1
zones = 0
regions = 0
[bounds]
"""
        text += "".join(f"{key} = {value}\n" for key, value in figures.items())
        text += f"""[platform]
address = "{store.server.address}"
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
        with open(self.path, "w", encoding="utf-8") as file:
            file.write(text)
        self.process = None

    @property
    def host_port(self):
        return self.ip, self.ports[0]

    def start(self):
        log = open(self.log_path, "ab")
        env = {key: os.environ[key] for key in ("PATH", "HOME", "LANG") if key in os.environ}
        env["LACEWINGPOST_CONFIG"] = self.path
        self.process = subprocess.Popen([os.path.join(ROOT, PROGRAM)], cwd=ROOT, env=env,
                                        stdin=subprocess.DEVNULL, stdout=log, stderr=log)
        log.close()
        self.record.line(f"{self.name} starts, process {self.process.pid}")

    async def wait_ready(self, limit_s=15):
        until = time.monotonic() + limit_s
        while time.monotonic() < until:
            if self.process.poll() is not None:
                raise CannotRun(f"{self.name} has ended with {self.process.returncode}")
            try:
                reader, writer = await asyncio.open_connection(self.ip, self.ports[1])
                writer.write(b"GET /lacewingpost/readiness HTTP/1.1\r\nHost: x\r\n"
                             b"Connection: close\r\n\r\n")
                head = await read_head(reader)
                writer.close()
                if " 200 " in head.first + " ":
                    self.record.line(f"{self.name} is ready")
                    return
            except (OSError, asyncio.IncompleteReadError):
                pass
            await asyncio.sleep(0.05)
        raise CannotRun(f"{self.name} is not ready in time")

    def signal(self, number):
        self.record.line(f"{self.name} gets signal {signal.Signals(number).name}")
        self.process.send_signal(number)

    def end(self):
        if self.process is not None and self.process.poll() is None:
            self.process.kill()
        if self.process is not None:
            self.process.wait()


# --- clients ----------------------------------------------------------------------------------

def attempt_id():
    return f"{random.getrandbits(64):016x}"


class Stream:
    """What a client has seen of one streamed answer."""

    def __init__(self, request_id):
        self.id, self.status, self.events = request_id, None, []
        self.is_complete = self.has_ended = False
        self.signature = None

    def ids(self):
        return [event[0] for event in self.events]

    def versions(self):
        return [event[1] for event in self.events]


async def request_stream(instance, record, path, key, tokens, prefix, deadline_ms, resumes=None,
                         last_event=None, leave_after=None):
    """Sends one request for a stream on a new connection and reads the answer to its end."""
    stream = Stream(attempt_id())
    host, port = instance.host_port
    fields = [f"POST {path} HTTP/1.1", "Host: h.example",
              f"X-Lacewingpost-Attempt-Id: {stream.id}", "X-Lacewingpost-Model: m",
              f"X-Lacewingpost-Token-Counts: {tokens[0]},{tokens[1]}",
              f"X-Lacewingpost-Prompt-Prefix: {prefix}",
              f"X-Lacewingpost-Deadline-Milliseconds: {deadline_ms}", f"Api-Key: {key}"]
    if last_event is not None:
        fields.append(f"Last-Event-Id: {last_event}")
    if resumes is not None:
        fields.append(f"Resumes: {resumes}")
    body = b"hi"
    message = "\r\n".join(fields + [f"Content-Length: {len(body)}", "", ""]).encode() + body
    writer = None
    try:
        reader, writer = await asyncio.open_connection(host, port)
        record.line(f"client sends {stream.id} {path}"
                    + (f" (goes on with {resumes} after {last_event})" if resumes else ""))
        writer.write(message)
        async with asyncio.timeout(deadline_ms / 1000 + 1):
            head = await read_head(reader)
            stream.status = int(head.first.split(" ")[1])
            stream.signature = head.get("x-lacewingpost-response-signature")
            record.line(f"client gets {stream.status} for {stream.id}")
            if stream.status != 200:
                await read_body(reader, head)
                stream.has_ended = True
                return stream
            pending = b""
            while True:
                size = int((await reader.readuntil(b"\r\n"))[:-2], 16)
                if size == 0:
                    await reader.readuntil(b"\r\n")
                    stream.is_complete = True
                    break
                pending += await reader.readexactly(size)
                await reader.readexactly(2)
                while b"\n\n" in pending:
                    event, pending = pending.split(b"\n\n", 1)
                    lines = dict(line.split(": ", 1) for line in event.decode().split("\n"))
                    stream.events.append((int(lines["id"]), lines.get("data", "")))
                if leave_after is not None and len(stream.events) >= leave_after:
                    break
    except (OSError, asyncio.IncompleteReadError, TimeoutError, ValueError) as error:
        record.line(f"client loses {stream.id}: {type(error).__name__}")
    finally:
        if writer is not None:
            writer.close()
    stream.has_ended = True
    record.line(f"client has {len(stream.events)} events of {stream.id}, "
                f"{'complete' if stream.is_complete else 'not complete'}")
    return stream


# --- a case -----------------------------------------------------------------------------------

def main(folder, case):
    """Runs `case(folder, scratch, record)`, which returns the broken rules as a list of texts."""
    if not os.path.exists(os.path.join(ROOT, PROGRAM)):
        print(f"{PROGRAM} is missing: run the build of the deploy file first")
        sys.exit(2)
    ending = (signal.SIGTERM, signal.SIGHUP, signal.SIGINT)

    def end(*_):
        # A second signal must not interrupt the end of the processes.
        for number in ending:
            signal.signal(number, signal.SIG_IGN)
        sys.exit(2)

    for number in ending:
        signal.signal(number, end)
    record = Record(folder)
    scratch = tempfile.mkdtemp(prefix="review-")
    instances = []

    async def run():
        async with asyncio.timeout(110):
            return await case(scratch, record, instances)

    code = 2
    try:
        broken = asyncio.run(run())
        for text in broken:
            print(text)
            record.line(f"BROKEN: {text}")
        code = 1 if broken else 0
        print("the rule was broken" if broken else "the rule held")
        record.line("the rule was broken" if broken else "the rule held")
    # Any other failure of the script must not look like a broken rule either.
    except Exception as error:
        code = 2
        print(f"the case could not run: {error!r}")
        record.line(f"the case could not run: {error!r}")
    finally:
        for instance in instances:
            instance.end()
        keep = os.environ.get("KEEP_LOGS")
        if keep:
            shutil.copytree(scratch, keep, dirs_exist_ok=True)
        shutil.rmtree(scratch, ignore_errors=True)
        record.close()
    sys.exit(code)

"""Stand-ins of the platform, its engines and its clients, and the start of real instances.

Only Python's standard library is used. All addresses are loopback addresses.
"""

import asyncio
import base64
import json
import os
import random
import shutil
import signal
import socket
import subprocess
import sys
import tempfile
import time
from urllib.parse import parse_qs, unquote, urlsplit

ROOT = os.path.dirname(os.path.dirname(os.path.dirname(os.path.abspath(__file__))))
PROGRAM = os.path.join(ROOT, "target", "release", "lacewing-platform")
HEARTBEAT_S = 1.2


def now():
    return time.monotonic()


class Record:
    """Lines about what was sent, answered and run, written to record.txt."""

    def __init__(self, folder):
        self.file = open(os.path.join(folder, "record.txt"), "w", encoding="utf-8")
        self.started = now()

    def write(self, text):
        self.file.write(f"{now() - self.started:9.3f} {text}\n")

    def close(self):
        self.file.close()


async def read_head(reader):
    """Reads a head; returns its first line and its fields by lower-case name, or None."""
    try:
        raw = await reader.readuntil(b"\r\n\r\n")
    except (asyncio.IncompleteReadError, ConnectionError, asyncio.LimitOverrunError):
        return None
    lines = raw.decode("latin-1").split("\r\n")
    fields = {}
    for line in lines[1:]:
        name, colon, value = line.partition(":")
        if colon:
            fields.setdefault(name.strip().lower(), value.strip())
    return lines[0], fields


async def read_body(reader, fields):
    """Reads a body with a length or in chunks; raises if it breaks off."""
    if fields.get("transfer-encoding", "").lower() == "chunked":
        body = b""
        while True:
            line = await reader.readuntil(b"\r\n")
            size = int(line.split(b";")[0], 16)
            chunk = await reader.readexactly(size + 2)
            if size == 0:
                return body
            body += chunk[:-2]
    return await reader.readexactly(int(fields.get("content-length", "0")))


class Store:
    """The platform's store: rows, transactions and feeds; nothing is lost, answers are in order."""

    def __init__(self, host):
        self.host = host
        self.rows = {}
        self.changes = []
        self.version = 0
        self.changed = asyncio.Event()
        self.opened = now()
        self.connections = set()

    async def start(self):
        self.server = await asyncio.start_server(self.serve, self.host, 0, limit=1 << 22)
        self.port = self.server.sockets[0].getsockname()[1]
        self.address = f"{self.host}:{self.port}"

    def write(self, location, value):
        table, part, key = location
        row = {"table": table, "part": part, "key": key, "schema_version": self.version}
        if value is None:
            row["removed"] = True
            self.rows.pop(location, None)
        else:
            row["value"] = value
            self.rows[location] = (value, self.version)
        self.changes.append((self.version, row))

    def notify(self):
        self.changed.set()
        self.changed = asyncio.Event()

    def put(self, table, key, value):
        self.version += 1
        text = base64.b64encode(json.dumps(value).encode()).decode()
        self.write((table, "", key), text)
        self.notify()

    def remove(self, table, key):
        self.version += 1
        self.write((table, "", key), None)
        self.notify()

    def stamp(self, rows):
        ms = int((now() - self.opened) * 1000)
        return {"rows": rows, "schema_version": self.version, "current_time_ms": ms}

    def item(self, location):
        value, version = self.rows[location]
        table, part, key = location
        return {"table": table, "part": part, "key": key, "value": value, "schema_version": version}

    async def serve(self, reader, writer):
        self.connections.add(writer)
        try:
            while True:
                head = await read_head(reader)
                if head is None:
                    return
                method, target, _ = head[0].split(" ", 2)
                body = await read_body(reader, head[1])
                await asyncio.sleep(0.004)
                status, value = await self.answer(method, target, body)
                text = json.dumps(value).encode()
                writer.write(
                    f"HTTP/1.1 {status} X\r\nContent-Type: application/json\r\n"
                    f"Content-Length: {len(text)}\r\n\r\n".encode() + text
                )
                await writer.drain()
        except (ConnectionError, asyncio.IncompleteReadError):
            pass
        finally:
            self.connections.discard(writer)
            writer.close()

    async def answer(self, method, target, body):
        parts = urlsplit(target)
        query = {name: values[0] for name, values in parse_qs(parts.query).items()}
        call = parts.path.rsplit("/", 1)[-1]
        if method == "POST" and call == "rows-tx":
            return self.transact(json.loads(body))
        if call == "rows-get":
            return self.range(query)
        if call == "rows-feed":
            return await self.feed(query)
        return 404, {}

    def transact(self, call):
        locate = lambda entry: (entry["table"], entry.get("part", ""), entry["key"])
        checks = call.get("precondition", [])
        entries = checks + call.get("writes", []) + call.get("remove", [])
        if len({entry.get("part", "") for entry in entries}) > 1 and not call.get("spanning"):
            return 400, {}
        for entry in entries:
            if entry["table"] in ("op", "servers") and entry not in checks:
                return 403, {}
        version = lambda entry: self.rows.get(locate(entry), ("", 0))[1]
        if any(entry["schema_version"] != version(entry) for entry in checks):
            found = [self.item(locate(e)) for e in checks if locate(e) in self.rows]
            return 412, self.stamp(found)
        self.version += 1
        for entry in call.get("writes", []):
            self.write(locate(entry), entry["value"])
        for entry in call.get("remove", []):
            self.write(locate(entry), None)
        self.notify()
        return 200, self.stamp([])

    def range(self, query):
        table, part = query.get("table", ""), query.get("part", "")
        first, end = query.get("from", ""), query.get("to", "")
        found = sorted(
            (location for location in self.rows
             if location[0] == table and location[1] == part
             and location[2] >= first and (not end or location[2] < end)),
            key=lambda location: location[2].encode(),
        )
        limit = min(int(query.get("limit", "500")), 500)
        value = self.stamp([self.item(location) for location in found[:limit]])
        value["has_more"] = len(found) > limit
        return 200, value

    async def feed(self, query):
        table, after = query.get("table", ""), int(query.get("after_revision", "0"))
        deadline = now() + min(int(query.get("wait_ms", "0")), 30_000) / 1000
        while True:
            event = self.changed
            rows = [row for version, row in self.changes if version > after and row["table"] == table]
            left = deadline - now()
            if rows or left <= 0:
                return 200, self.stamp(rows)
            try:
                await asyncio.wait_for(event.wait(), left)
            except asyncio.TimeoutError:
                pass


class Instances:
    """Real instances, started with the command of the deploy file."""

    def __init__(self, store, count, zones=3, bounds=None, limits=None):
        self.store = store
        self.count = count
        self.zones = zones
        self.folder = tempfile.mkdtemp(prefix="review-")
        self.bounds = bounds or {}
        self.limits = limits or {}
        self.processes = {}
        self.prefix, self.base = free_addresses(count)
        self.names = [f"front-z{number % zones}-{number // zones + 1}" for number in range(count)]

    def ip(self, number):
        return f"{self.prefix}.{number + 1}"

    def front(self, number):
        return f"{self.ip(number)}:{self.base + 7}"

    def directory(self, number):
        return f"{self.ip(number)}:{self.base + 4}"

    def ready(self, number):
        return f"{self.ip(number)}:{self.base}"

    def settings(self, number, bootstrap):
        ip, base = self.ip(number), self.base
        bounds = {
            "seed_lag_s": 3, "reuse_delay_s": 2, "stable_window_ms": 3000,
            "acknowledge_ms": 4000, "catch_up_s": 4, "drain_ms": 2000, "grace_s": 8,
            "loss_slack_ms": 200, "config_propagation_ms": 2000, "rollback_slack_ms": 250,
            "stretch_ms": 5000, "revocation_ms": 5000, "budget_ratio": 0.2,
            "budget_window_s": 10, "retry_slack": 52, "recovery_s": 12, "pass_ms": 120,
            "retry_after_s": 8.5, "settle_ms": 1500, "ttl_max_s": 5,
        }
        bounds.update(self.bounds)
        limits = {
            "cpu_share": 0.25, "cores": 1, "memory_mb": 110, "file_descriptors": 4100,
            "bandwidth_mbps": 1000.0, "disk_mb": 0,
        }
        limits.update(self.limits)
        seeds = ",".join(f'"{self.ip(n)}:{base + 9}"' for n in range(min(3, self.count)))
        lines = [
            f'node_name = "{self.names[number]}"', 'role = "router"', 'machine_class = "front"',
            'serves = ["front","directory"]', f'ip = "{ip}"', f'zone = "z{number % self.zones}"',
            'region = "r"', f"internal_ports = [{base + 20},{base + 35}]", f"seeds = [{seeds}]",
            f"bootstrap = {'true' if bootstrap else 'false'}", "counts_toward_tolerance = true",
            'discovery = "platform"', 'entry = "directory"', "heartbeat_ms = 1200",
            'contracts = ["base","drain","config","cost","retry","recover","engine","stream",'
            '"tenants","platform"]',
            "[zones]",
            *[f'z{zone} = "r"' for zone in range(self.zones)],
            "[listen_addresses]", f'front = "{ip}:{base + 7}"', f'ready = "{ip}:{base}"',
            f'control = "{ip}:{base + 9}"', f'directory = "{ip}:{base + 4}"',
            "[limits]", *[f"{name} = {value}" for name, value in limits.items()],
            "[fault_tolerance]", "machines = 1", "zones = 0", "regions = 0",
            "[bounds]", *[f"{name} = {value}" for name, value in bounds.items()],
            "strict_revocation = false",
            "[platform]", f'address = "{self.store.address}"', 'form = "table"',
            "writes_per_s = 600", "reads_per_s = 2000", "transaction_ms = 5.0",
            "part_writes_per_s = 200", "row_bytes = 65536", "spanning = false", "history_s = 20",
            "blob_bytes = 8388608", "blob_ms = 25.0", "blob_mb_per_s = 80.0",
        ]
        return "\n".join(lines) + "\n"

    def start(self, number, bootstrap=True):
        path = os.path.join(self.folder, f"{number}.toml")
        with open(path, "w", encoding="utf-8") as file:
            file.write(self.settings(number, bootstrap))
        environment = {"PATH": os.environ.get("PATH", ""), "HOME": os.environ.get("HOME", "/"),
                       "LANG": "C.UTF-8", "LACEWINGPOST_CONFIG": path}
        log = open(os.path.join(self.folder, f"{number}.log"), "ab")
        self.processes[number] = subprocess.Popen(
            [PROGRAM], cwd=ROOT, env=environment, stdin=subprocess.DEVNULL, stdout=log, stderr=log)
        log.close()

    def start_all(self):
        for number in range(self.count):
            self.start(number)

    def signal(self, number, which):
        self.processes[number].send_signal(which)

    def exited(self):
        return {number: process.poll() for number, process in self.processes.items()
                if process.poll() is not None}

    def end(self):
        for process in self.processes.values():
            if process.poll() is None:
                process.send_signal(signal.SIGCONT)
                process.kill()
        for process in self.processes.values():
            process.wait()
        shutil.rmtree(self.folder, ignore_errors=True)

    async def wait_ready(self, limit=15.0):
        deadline = now() + limit
        waiting = set(range(self.count))
        while waiting and now() < deadline:
            for number in list(waiting):
                if await self.is_ready(number):
                    waiting.discard(number)
            await asyncio.sleep(0.1)
        return not waiting

    async def get(self, address, target):
        host, port = address.rsplit(":", 1)
        reader, writer = await asyncio.open_connection(host, int(port))
        try:
            writer.write(f"GET {target} HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n".encode())
            head = await read_head(reader)
            body = await read_body(reader, head[1])
            return int(head[0].split(" ")[1]), body
        finally:
            writer.close()

    async def is_ready(self, number):
        try:
            status, _ = await asyncio.wait_for(
                self.get(self.ready(number), "/lacewingpost/readiness"), 1.0)
            return status == 200
        except (OSError, asyncio.TimeoutError, TypeError, asyncio.IncompleteReadError):
            return False

    async def resolve(self, host):
        """Asks up to three instances for addresses, as a client does."""
        for number in random.sample(range(self.count), min(3, self.count)):
            try:
                target = f"/lacewingpost/resolve?name={host}&region=r&zone=z{number % self.zones}"
                status, body = await asyncio.wait_for(self.get(self.directory(number), target), 1.0)
                value = json.loads(body)
                if status == 200 and value["addresses"]:
                    return value["addresses"], float(value["ttl_s"])
            except (OSError, asyncio.TimeoutError, TypeError, KeyError, ValueError,
                    asyncio.IncompleteReadError):
                continue
        return None


# Offsets of the ports of an instance from its first one: readiness, directory, callers, control, and
# the ports between instances.
PORT_OFFSETS = (0, 4, 7, 9, *range(20, 36))
# Port of the metrics, as in the deploy file.
METRICS_PORT = 9464


def free_addresses(count):
    """Returns the first three numbers of IP addresses, and a first port, that are free for all."""
    for _ in range(100):
        prefix = f"127.{random.randrange(30, 250)}.{random.randrange(1, 250)}"
        base = random.randrange(21_000, 29_000)
        ports = [base + offset for offset in PORT_OFFSETS] + [METRICS_PORT]
        if all(is_free(f"{prefix}.{number + 1}", port) for number in range(count) for port in ports):
            return prefix, base
    raise OSError("no free ports")


def is_free(ip, port):
    with socket.socket() as probe:
        try:
            probe.bind((ip, port))
        except OSError:
            return False
    return True


def free_port(ip):
    with socket.socket() as probe:
        probe.bind((ip, 0))
        return probe.getsockname()[1]


def abort(writer):
    """Closes a connection as the end of its process does, and discards what is not sent."""
    writer.transport.abort()


def is_disabled():
    return os.environ.get("TROUBLE", "1") == "0"


def run(main, folder):
    """Runs a case; its result is the exit code: 0 held, 1 broken, 2 could not run."""
    if not os.path.exists(PROGRAM):
        print("the program is not built", file=sys.stderr)
        sys.exit(2)
    # Connections that are still open at the end need no report.
    sys.unraisablehook = lambda *_: None
    # An end from outside also ends the instances.
    for which in (signal.SIGTERM, signal.SIGHUP):
        signal.signal(which, lambda *_: sys.exit(2))
    record = Record(folder)
    try:
        code = asyncio.run(main(record))
    except Exception as error:  # any failure of the stand-ins themselves
        record.write(f"could not run: {error!r}")
        print(f"could not run: {error!r}", file=sys.stderr)
        code = 2
    record.close()
    sys.exit(code)

"""Stand-ins of the platform's store, of engines and of clients, and the processes under test.

All addresses are loopback addresses. Every machine and every peer has an address of its own, so
that the ports that the deploy file fixes are free.
"""

import base64
import json
import os
import random
import shutil
import signal
import socket
import subprocess
import tempfile
import threading
import time
import traceback

ROOT = os.path.dirname(os.path.dirname(os.path.dirname(os.path.abspath(__file__))))
PROGRAM = os.path.join(ROOT, "target", "release", "lacewing-platform")
METRICS_PORT = 9464
HEARTBEAT_SECONDS = 1.2
# Longest time of a case.
MAX_SECONDS = 118
ATTEMPT = "X-Lacewingpost-Attempt-Id"
SIGNATURE = "X-Lacewingpost-Response-Signature"
NOT_RUN = "X-Lacewingpost-Not-Executed"
COUNTS = "X-Lacewingpost-Token-Counts"
PREFIX = "X-Lacewingpost-Prompt-Prefix"
DEADLINE = "X-Lacewingpost-Deadline-Milliseconds"
EXPECTED = "X-Lacewingpost-Expect-Instance"
TENANT = "X-Lacewingpost-Tenant"
STARTED = time.monotonic()


def now():
    return time.monotonic() - STARTED


class Unusable(Exception):
    """The case cannot run."""


class Record:
    """What was sent, answered and run, in the order of its time."""

    def __init__(self):
        self.lines = []
        self.lock = threading.Lock()

    def add(self, text):
        with self.lock:
            self.lines.append((now(), text))

    def write(self, path):
        with self.lock, open(path, "w") as out:
            for at, text in self.lines:
                out.write("%8.3f  %s\n" % (at, text))


RECORD = Record()


def free_host():
    """Returns a loopback address at which the fixed port of the metrics is free."""
    for _ in range(200):
        host = "127.%d.%d.%d" % (random.randint(20, 250), random.randint(1, 250), random.randint(1, 250))
        with socket.socket() as probe:
            try:
                probe.bind((host, METRICS_PORT))
            except OSError:
                continue
        return host
    raise Unusable("no free loopback address")


def listen(host, port=0, backlog=256):
    server = socket.socket()
    server.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
    server.bind((host, port))
    server.listen(backlog)
    return server


def free_ports(host, count):
    held = [listen(host) for _ in range(count)]
    ports = [one.getsockname()[1] for one in held]
    for one in held:
        one.close()
    return ports


def free_pair(host):
    """Returns the first of two ports in a row that are free, below those that `free_ports` returns."""
    for _ in range(200):
        first = random.randint(20000, 30000)
        try:
            held = [listen(host, first), listen(host, first + 1)]
        except OSError:
            continue
        for one in held:
            one.close()
        return first
    raise Unusable("no two free ports in a row")


class Reader:
    """Reads HTTP/1.1 messages from a socket."""

    def __init__(self, sock):
        self.sock = sock
        self.data = b""

    def more(self):
        part = self.sock.recv(65536)
        if not part:
            raise EOFError("closed")
        self.data += part

    def until(self, mark):
        while mark not in self.data:
            self.more()
        head, self.data = self.data.split(mark, 1)
        return head

    def exactly(self, size):
        while len(self.data) < size:
            self.more()
        part, self.data = self.data[:size], self.data[size:]
        return part

    def head(self):
        lines = self.until(b"\r\n\r\n").decode("latin-1").split("\r\n")
        fields = {}
        for line in lines[1:]:
            name, _, value = line.partition(":")
            fields[name.strip().lower()] = value.strip()
        return lines[0], fields

    def chunk(self):
        size = int(self.until(b"\r\n").split(b";")[0], 16)
        if size == 0:
            self.until(b"\r\n")
            return b""
        part = self.exactly(size)
        self.exactly(2)
        return part

    def body(self, fields):
        if fields.get("transfer-encoding", "").lower() == "chunked":
            whole = b""
            while part := self.chunk():
                whole += part
            return whole
        return self.exactly(int(fields.get("content-length", "0")))


def serve_forever(server, handler):
    """Accepts connections in a thread of its own, each of which `handler` gets in another."""

    def loop():
        while True:
            try:
                sock, _ = server.accept()
            except OSError:
                return
            sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            threading.Thread(target=guard, args=(handler, sock), daemon=True).start()

    threading.Thread(target=loop, daemon=True).start()


def guard(handler, sock):
    try:
        handler(sock)
    except (OSError, EOFError, ValueError):
        pass
    finally:
        sock.close()


def answer(status, body=b"", fields=(), reason="Status"):
    lines = ["HTTP/1.1 %d %s" % (status, reason), "Content-Length: %d" % len(body)]
    lines += ["%s: %s" % field for field in fields]
    return ("\r\n".join(lines) + "\r\n\r\n").encode() + body


class Store:
    """The platform's metadata store: rows, transactions and feeds."""

    def __init__(self):
        self.host = free_host()
        self.server = listen(self.host)
        self.address = "%s:%d" % self.server.getsockname()
        self.lock = threading.Condition()
        self.version = 0
        self.rows = {}
        self.changes = []
        self.calls = {}
        # Called with the source address, the path and the body before a call is carried out. It
        # returns what becomes of the call: "serve", "refuse", "silent" or "reset".
        self.gate = lambda source, path, body: "serve"
        self.beats = {}
        serve_forever(self.server, self.handle)
        threading.Thread(target=self.remove_silent, daemon=True).start()

    def clock_ms(self):
        return int((now() + 1000.0) * 1000)

    def put(self, table, key, value, part=""):
        """Writes a row in the name of the operator or of an engine."""
        text = value if isinstance(value, str) else json.dumps(value)
        if table == "servers":
            self.beats[key] = time.monotonic()
        with self.lock:
            self.version += 1
            self.set(table, part, key, base64.b64encode(text.encode()).decode())
            self.lock.notify_all()

    def remove_silent(self):
        """Removes the entries of engines after three heartbeat intervals of silence."""
        while True:
            time.sleep(0.1)
            oldest = time.monotonic() - 3 * HEARTBEAT_SECONDS
            for key in [key for key, at in list(self.beats.items()) if at < oldest]:
                del self.beats[key]
                self.drop("servers", key)

    def drop(self, table, key, part=""):
        with self.lock:
            self.version += 1
            self.unset(table, part, key)
            self.lock.notify_all()

    def set(self, table, part, key, value):
        row = {"table": table, "part": part, "key": key, "value": value, "schema_version": self.version}
        self.rows[(table, part, key)] = row
        self.changes.append((self.version, table, row))

    def unset(self, table, part, key):
        if self.rows.pop((table, part, key), None) is not None:
            row = {"table": table, "part": part, "key": key, "value": "", "removed": True,
                   "schema_version": self.version}
            self.changes.append((self.version, table, row))

    def table(self, name):
        with self.lock:
            rows = [row for (table, _, _), row in self.rows.items() if table == name]
        return {(row["part"], row["key"]): json.loads(base64.b64decode(row["value"])) for row in rows}

    def handle(self, sock):
        reader = Reader(sock)
        source = sock.getpeername()[0]
        while True:
            line, fields = reader.head()
            body = reader.body(fields)
            method, target, _ = line.split(" ")
            path, _, query = target.partition("?")
            call = path.rsplit("/", 1)[-1]
            with self.lock:
                self.calls[call] = self.calls.get(call, 0) + 1
            verdict = self.gate(source, path, body)
            if verdict == "reset":
                sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, b"\1\0\0\0\0\0\0\0")
                return
            if verdict == "silent":
                time.sleep(600)
            if verdict == "refuse":
                sock.sendall(answer(503, b"{}"))
                continue
            args = dict(part.split("=", 1) for part in query.split("&") if part)
            args = {name: unquote(value) for name, value in args.items()}
            if call == "rows-get":
                status, result = self.get(args)
            elif call == "rows-feed":
                status, result = self.feed(args)
            elif call == "rows-tx":
                time.sleep(0.004)
                status, result = self.transact(json.loads(body))
            else:
                status, result = 404, {}
            if verdict == "lose":
                time.sleep(600)
            text = json.dumps(result).encode()
            sock.sendall(answer(status, text, [("Content-Type", "application/json")]))

    def stamp(self, rows, **more):
        return dict(rows=rows, schema_version=self.version, current_time_ms=self.clock_ms(), **more)

    def get(self, args):
        limit = min(int(args.get("limit", 500)), 500)
        with self.lock:
            rows = [row for (table, part, key), row in sorted(self.rows.items())
                    if table == args["table"] and part == args.get("part", "")
                    and key >= args.get("from", "") and ("to" not in args or key < args["to"])]
            return 200, self.stamp(rows[:limit], has_more=len(rows) > limit)

    def feed(self, args):
        after, until = int(args["after_revision"]), time.monotonic() + int(args["wait_ms"]) / 1e3
        with self.lock:
            while True:
                rows = [row for version, table, row in self.changes
                        if version > after and table == args["table"]]
                left = until - time.monotonic()
                if rows or left <= 0:
                    return 200, self.stamp(rows)
                self.lock.wait(left)

    def transact(self, txn):
        with self.lock:
            checks = [((row["table"], row["part"], row["key"]), row["schema_version"])
                      for row in txn.get("precondition", [])]
            known = {place: self.rows.get(place) for place, _ in checks}
            if any((known[place] or {"schema_version": 0})["schema_version"] != version
                   for place, version in checks):
                return 412, self.stamp([row for row in known.values() if row])
            self.version += 1
            for row in txn.get("writes", []):
                self.set(row["table"], row["part"], row["key"], row["value"])
            for row in txn.get("remove", []):
                self.unset(row["table"], row["part"], row["key"])
            self.lock.notify_all()
            return 200, {"schema_version": self.version, "current_time_ms": self.clock_ms()}


def unquote(text):
    out, index = bytearray(), 0
    while index < len(text):
        if text[index] == "%":
            out.append(int(text[index + 1:index + 3], 16))
            index += 3
        else:
            out += text[index].encode()
            index += 1
    return out.decode()


class Engine:
    """An engine that registers itself and answers as the protocol says."""

    def __init__(self, store, service, number, slots=64, memory=508163, zone="bole", host=None,
                 port=0, version="v1"):
        self.store, self.service, self.slots, self.memory, self.zone = store, service, slots, memory, zone
        self.version = version
        self.id = "i-%08x" % (random.getrandbits(24) << 8 | number)
        self.born = int(time.time() * 1000)
        self.host = host or free_host()
        self.server = listen(self.host, port)
        self.address = "%s:%d" % self.server.getsockname()
        self.sequence = 0
        self.state = "ready"
        self.alive = True
        self.lock = threading.Lock()
        self.runs = []
        self.running = 0
        self.sockets = set()
        # Called with this engine, a reader, a socket, the request line, the fields and the body.
        self.behave = respond
        # Time between two events of a stream.
        self.pause = 0.1
        serve_forever(self.server, self.handle)
        self.write()
        threading.Thread(target=self.beat, daemon=True).start()

    def write(self):
        self.sequence += 1
        self.store.put("servers", self.id, {
            "service": self.service, "address": self.address, "zone": self.zone,
            "version": self.version, "slots": self.slots, "state": self.state,
            "cold_remaining_ms": 0, "stage": "unified",
            "models": [{"name": "m", "version": 1, "adapters": []}], "sequence": self.sequence,
            "born": self.born})

    def beat(self):
        while self.alive:
            time.sleep(HEARTBEAT_SECONDS)
            if self.alive:
                self.write()

    def handle(self, sock):
        with self.lock:
            self.sockets.add(sock)
        try:
            reader = Reader(sock)
            while True:
                line, fields = reader.head()
                body = reader.body(fields)
                if not self.behave(self, reader, sock, line, fields, body):
                    return
        finally:
            with self.lock:
                self.sockets.discard(sock)

    def note(self, attempt, what):
        RECORD.add("engine %s: %s %s" % (self.id, attempt, what))
        with self.lock:
            self.runs.append((now(), attempt, what))

    def load(self):
        return ("X-Lacewingpost-Server-Load", "%d,0,%d" % (self.running, self.slots))


def report(engine):
    """Returns what an engine says of itself."""
    return json.dumps({"stage": "unified", "models": [{"name": "m", "version": 1, "adapters": []}],
                       "busy": False, "sequence": 1, "queue_depth": 0,
                       "running_requests": engine.running, "kv_cache_used": 0,
                       "kv_cache_capacity": engine.memory, "handles": 0, "born": engine.born}).encode()


def respond(engine, reader, sock, line, fields, body):
    """Sound behaviour of an engine. Returns true if the connection stays open."""
    method, target, _ = line.split(" ")
    attempt = fields.get(ATTEMPT.lower())
    if target == "/health":
        sock.sendall(answer(200, b"", [("X-Lacewingpost-Instance-Id", engine.id), engine.load()]))
        return True
    if target == "/lacewingpost/report":
        sock.sendall(answer(200, report(engine)))
        return True
    if attempt is None:
        sock.sendall(answer(400, b"", [(NOT_RUN, "1")]))
        return True
    named = [(ATTEMPT, attempt), engine.load()]
    if fields.get(EXPECTED.lower(), engine.id) != engine.id:
        sock.sendall(answer(421, b"", named + [("X-Lacewingpost-Instance-Id", engine.id)]))
        return True
    signed = named + [(SIGNATURE, "%s.%s" % (engine.id, attempt)), ("Keep-Alive", "timeout=4")]
    counts = fields.get(COUNTS.lower())
    if counts is None:
        engine.note(attempt, "runs")
        time.sleep(0.02)
        sock.sendall(answer(200, b"x" * 800, signed))
        return True
    prompt, output = (int(text) for text in counts.split(","))
    if prompt + output > engine.memory:
        engine.note(attempt, "does not run, larger than the memory")
        sock.sendall(answer(503, b"", named + [(NOT_RUN, "1")]))
        return True
    engine.note(attempt, "runs")
    with engine.lock:
        engine.running += 1
    try:
        return stream(engine, sock, fields, signed, output)
    finally:
        with engine.lock:
            engine.running -= 1


def stream(engine, sock, fields, signed, output, stride=5):
    head = ["HTTP/1.1 200 OK", "Content-Type: text/event-stream", "Transfer-Encoding: chunked"]
    head += ["%s: %s" % field for field in signed]
    sock.sendall(("\r\n".join(head) + "\r\n\r\n").encode())
    first = int(fields.get("last-event-id", "0")) + 1
    for number in range(first, output // stride + 1):
        time.sleep(engine.pause)
        event = b"id: %d\ndata: %s\n\n" % (number, b"t" * 40)
        sock.sendall(b"%x\r\n%s\r\n" % (len(event), event))
    sock.sendall(b"0\r\n\r\n")
    return True


class Machine:
    """A machine of the system: its settings and its process."""

    def __init__(self, store, number, zone="bole", zones=("bole",), first_start=True, memory_mb=260,
                 store_address=None, env_path=None):
        self.name = "front-%s-%d" % (zone, number)
        self.zone, self.zones = zone, zones
        self.host = free_host()
        self.front, self.ready, self.directory, self.control = free_ports(self.host, 4)
        self.internal = free_pair(self.host)
        self.folder = tempfile.mkdtemp(prefix="lacewing-review-")
        self.settings = os.path.join(self.folder, "local.toml")
        self.store_address = store_address or store.address
        self.first_start, self.memory_mb = first_start, memory_mb
        self.process = None
        self.log = os.path.join(self.folder, "log")
        self.write_settings()

    def write_settings(self):
        zones = "\n".join('%s = "addis"' % zone for zone in self.zones)
        text = SETTINGS.format(name=self.name, host=self.host, zone=self.zone, zones=zones,
                               first=self.internal, last=self.internal + 1, front=self.front,
                               ready=self.ready, control=self.control, directory=self.directory,
                               memory=self.memory_mb, store=self.store_address,
                               bootstrap="true" if self.first_start else "false")
        with open(self.settings, "w") as out:
            out.write(text)

    def start(self):
        if not os.path.exists(PROGRAM):
            raise Unusable("the program is not built: %s" % os.path.relpath(PROGRAM, ROOT))
        out = open(self.log, "ab")
        env = {"PATH": os.environ.get("PATH", ""), "HOME": self.folder, "LANG": "C",
               "LACEWINGPOST_CONFIG": self.settings}
        self.process = subprocess.Popen([PROGRAM], cwd=ROOT, env=env, stdout=out, stderr=out)
        out.close()
        RECORD.add("machine %s starts" % self.name)

    def signal(self, number):
        RECORD.add("machine %s gets signal %d" % (self.name, number))
        self.process.send_signal(number)

    def kill(self):
        self.signal(signal.SIGKILL)
        self.process.wait()

    def is_running(self):
        return self.process is not None and self.process.poll() is None

    def is_ready(self):
        try:
            status, _, _ = call(self.host, self.ready, "GET", "/lacewingpost/readiness", {}, timeout=1)
            return status == 200
        except (OSError, EOFError, ValueError):
            return False

    def addresses(self):
        status, _, body = call(self.host, self.directory, "GET",
                               "/lacewingpost/resolve?name=w.example&region=addis&zone=" + self.zone,
                               {}, timeout=1)
        return json.loads(body)["addresses"] if status == 200 else []

    def tail(self):
        """Returns the last lines of the log."""
        with open(self.log, errors="replace") as log:
            return "".join(log.readlines()[-8:])

    def end(self):
        if self.process is not None and self.process.poll() is None:
            self.process.send_signal(signal.SIGCONT)
            self.process.kill()
            self.process.wait()
        shutil.rmtree(self.folder, ignore_errors=True)


def call(host, port, method, target, fields, body=b"", timeout=10.0):
    """Sends one request on a connection of its own; returns status, fields and body."""
    with socket.create_connection((host, port), timeout=timeout) as sock:
        sock.sendall(encode(method, target, host, fields, body))
        reader = Reader(sock)
        line, got = reader.head()
        return int(line.split(" ")[1]), got, reader.body(got)


def encode(method, target, host, fields, body=b""):
    lines = ["%s %s HTTP/1.1" % (method, target), "Host: " + fields.get("Host", host)]
    lines += ["%s: %s" % (name, value) for name, value in fields.items() if name != "Host"]
    if body or method != "GET":
        lines.append("Content-Length: %d" % len(body))
    return ("\r\n".join(lines) + "\r\n\r\n").encode() + body


def attempt_id():
    return "%016x" % random.getrandbits(64)


def wait_ready(machines, limit=15.0):
    until = time.monotonic() + limit
    while not all(machine.is_ready() for machine in machines):
        if time.monotonic() > until:
            for machine in machines:
                if not machine.is_ready():
                    print(machine.name, "running:", machine.is_running(), "log:", machine.tail())
            raise Unusable("the machines are not ready after %d s" % limit)
        time.sleep(0.1)


def finish(case, machines, broken):
    """Ends all processes, writes the record and returns the exit code."""
    for machine in machines:
        machine.end()
    RECORD.add("rule broken: %s" % ("yes" if broken else "no"))
    RECORD.write(os.path.join(case, "record.txt"))
    return 1 if broken else 0


def run(case, main):
    """Runs `main(machines, trouble)`, which returns true if the rule was broken."""
    machines = []
    trouble = os.environ.get("TROUBLE", "1") != "0"
    RECORD.add("with trouble" if trouble else "without trouble")
    broken, unusable = False, None

    def stop(number, frame):
        raise Unusable("ended by signal %d" % number)

    for number in (signal.SIGTERM, signal.SIGINT, signal.SIGHUP, signal.SIGALRM):
        signal.signal(number, stop)
    signal.alarm(MAX_SECONDS)
    try:
        broken = main(machines, trouble)
    except Unusable as error:
        unusable = error
    except Exception as error:  # An error of the stand-ins is no result.
        unusable = error
        traceback.print_exc()
    signal.alarm(0)
    for number in (signal.SIGTERM, signal.SIGINT, signal.SIGHUP):
        signal.signal(number, signal.SIG_IGN)
    code = finish(case, machines, broken)
    if unusable is not None:
        print("the case could not run: %r" % unusable)
        code = 2
    print("exit code %d" % code, flush=True)
    os._exit(code)


SETTINGS = """node_name = "{name}"
role = "router"
machine_class = "front"
serves = ["front","directory"]
ip = "{host}"
zone = "{zone}"
region = "addis"
internal_ports = [{first},{last}]
seeds = []
bootstrap = {bootstrap}
counts_toward_tolerance = false
discovery = "platform"
entry = "directory"
heartbeat_ms = 1200
contracts = ["base","drain","config","cost","retry","recover","engine","stream","tenants","platform"]
[zones]
{zones}
[listen_addresses]
front = "{host}:{front}"
ready = "{host}:{ready}"
control = "{host}:{control}"
directory = "{host}:{directory}"
[limits]
cpu_share = 0.25
cores = 1
memory_mb = {memory}
file_descriptors = 4100
bandwidth_mbps = 1000.0
disk_mb = 0
[fault_tolerance]
machines = 1
zones = 0
regions = 0
[bounds]
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
retry_slack = 56
recovery_s = 12
pass_ms = 120
retry_after_s = 10
settle_ms = 1500
ttl_max_s = 5
[platform]
address = "{store}"
form = "table"
writes_per_s = 800
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


def configuration(version=7, prepaid=8046026, routes=None, keys=("key-one",), services=None):
    """A configuration like the example of the pages: streams and plain requests of one tenant."""
    route = dict(host="w.example", target_latency_ms=600, max_attempts=2, allow_anonymous=False,
                 session_affinity=True, gap_target_ms=400)
    routes = routes or [
        dict(route, name="r-stream", prefix="/stream/", kind="stream", timeout_ms=8000, priority=1,
             service="lm-pool", resume_streams=True),
        dict(route, name="r-once", prefix="/once/", kind="stream", timeout_ms=8000, priority=1,
             service="lm-pool", resume_streams=False),
        dict(route, name="r-unsafe", prefix="/unsafe/", kind="unsafe", timeout_ms=1000, priority=2,
             service="billing-api", resume_streams=False),
        dict(route, name="r-safe", prefix="/safe/", kind="safe", timeout_ms=1000, priority=2,
             service="billing-api", resume_streams=False),
    ]
    services = services or [
        {"name": "lm-pool", "health_path": "/health", "connection_limit": 370, "protocol": "h1",
         "tls": False, "engine": {"slots": 64, "kv_cache_tokens": 508163, "kv_token_bytes": 327680,
                                  "bandwidth_mbps": 550000.0, "moves": True, "backups": True,
                                  "stride": 5, "most": 12, "pin_ms": 4000.0, "hold_ms": 2000.0,
                                  "handle_s": 5.0, "models": [{"name": "m"}]}},
        {"name": "billing-api", "health_path": "/health", "connection_limit": 110,
         "protocol": "h1", "tls": False},
    ]
    return {"version": version, "routes": routes, "services": services,
            "limits": {"header_bytes": 16384, "body_bytes": 4194304, "header_timeout_ms": 3000,
                       "idle_ms": 15000},
            "tenants": [{"name": "tenant-one", "api_keys": list(keys), "priority": 1,
                         "prepaid": prepaid}]}

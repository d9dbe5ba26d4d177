"""A machine loses its path to the engines; streams that begin there meanwhile cannot be taken up."""

import base64
import json
import os
import random
import socket
import sys
import threading
import time

CASE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(os.path.dirname(CASE), "lib-4"))
import lab  # noqa: E402

PROMPT, OUTPUT = 1460, 50
ENGINES_OF_A_VERSION = 4
ROUNDS, ROUND_SECONDS = 7, 12.0
# In each round the machine is cut off from all engines for this time.
CUT_SECONDS = 6.0
# The streams that are taken up begin so long after the start of the cut, and so many of those at the
# machine lose their connections: at most 0.55 of the connections of 0.35 of the machines.
WAVE_AFTER, RESET_AFTER = 3.6, 4.2
STREAMS, RESETS = 12, 10
# Pause between two other streams at each machine.
STEADY_PAUSE = 0.1
LINGER_ZERO = b"\1\0\0\0\0\0\0\0"


class Path:
    """The way of one machine to one engine: a proxy that can be cut."""

    def __init__(self, target):
        host, _, port = target.rpartition(":")
        self.target = (host, int(port))
        self.host = lab.free_host()
        self.server = lab.listen(self.host)
        self.port = self.server.getsockname()[1]
        self.address = "%s:%d" % (self.host, self.port)
        self.lock = threading.Lock()
        self.open = set()
        lab.serve_forever(self.server, self.carry)

    def carry(self, sock):
        out = socket.create_connection(self.target, timeout=2)
        out.settimeout(None)
        out.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        pair = (sock, out)
        with self.lock:
            self.open.add(pair)
        back = threading.Thread(target=self.copy, args=(out, sock), daemon=True)
        back.start()
        self.copy(sock, out)
        back.join()
        with self.lock:
            self.open.discard(pair)
        out.close()

    @staticmethod
    def copy(source, sink):
        try:
            while part := source.recv(65536):
                sink.sendall(part)
        except OSError:
            pass
        for sock in (source, sink):
            try:
                sock.shutdown(socket.SHUT_RDWR if sock is source else socket.SHUT_WR)
            except OSError:
                pass

    def cut(self):
        """Resets the connections, and refuses new ones."""
        # A close alone does not end the accept of another thread.
        self.server.shutdown(socket.SHUT_RDWR)
        self.server.close()
        with self.lock:
            pairs = list(self.open)
        for pair in pairs:
            for sock in pair:
                try:
                    sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, LINGER_ZERO)
                    sock.shutdown(socket.SHUT_RD)
                except OSError:
                    pass

    def heal(self):
        self.server = lab.listen(self.host, self.port)
        lab.serve_forever(self.server, self.carry)


class Store(lab.Store):
    """A store that names to one machine the addresses of its own paths to the engines."""

    def __init__(self):
        super().__init__()
        self.paths = {}
        self.view = threading.local()
        self.front = lab.listen(self.host)
        self.front_address = "%s:%d" % self.front.getsockname()
        lab.serve_forever(self.front, self.handle_front)

    def handle_front(self, sock):
        self.view.has_paths = True
        self.handle(sock)

    def stamp(self, rows, **more):
        if getattr(self.view, "has_paths", False):
            rows = [self.with_path(row) for row in rows]
        return super().stamp(rows, **more)

    def with_path(self, row):
        if row["table"] != "servers" or row.get("removed"):
            return row
        entry = json.loads(base64.b64decode(row["value"]))
        entry["address"] = self.path(entry["address"]).address
        return dict(row, value=base64.b64encode(json.dumps(entry).encode()).decode())

    def path(self, address):
        if address not in self.paths:
            self.paths[address] = Path(address)
        return self.paths[address]


class Call:
    """A stream, which its caller takes up if its connection is reset."""

    def __init__(self, machine, others, broken, results):
        self.machine, self.others, self.broken, self.results = machine, others, broken, results

    def run(self):
        attempt = lab.attempt_id()
        fields = {"Host": "w.example", lab.ATTEMPT: attempt, "X-Lacewingpost-Model": "m",
                  lab.COUNTS: "%d,%d" % (PROMPT, OUTPUT),
                  lab.PREFIX: "5c1e07a2:800,91bd3f06:410,%s:250" % attempt[:8],
                  lab.DEADLINE: "8000", "Api-Key": "key-one"}
        had, ending = self.read(self.machine, fields, self.broken)
        if not had or ending == "complete":
            if ending != "complete":
                lab.RECORD.add("client: %s at %s: %s" % (attempt, self.machine.name, ending))
            self.results.append((bool(had), None))
            return
        fields.update({lab.ATTEMPT: lab.attempt_id(), "Last-Event-Id": str(had), "Resumes": attempt})
        # The other machines have had no reset and no cut, and are in touch.
        other = random.choice(self.others)
        more, second = self.read(other, fields, None)
        self.results.append((True, more > 0))
        lab.RECORD.add("client: %s had %d events at %s (%s), taken up at %s: %s" % (
            attempt, had, self.machine.name, ending, other.name, second))

    def read(self, machine, fields, broken):
        count, ending = 0, "no answer"
        try:
            with socket.create_connection((machine.host, machine.front), timeout=8) as sock:
                sock.sendall(lab.encode("POST", "/stream/a", "w.example", fields, b"p" * 400))
                reader = lab.Reader(sock)
                line, got = reader.head()
                ending = line.split(" ")[1]
                if ending != "200":
                    return count, ending + " " + reader.body(got).decode().strip()
                while part := reader.chunk():
                    count += part.count(b"\n\n")
                    if broken is not None and broken.is_set():
                        sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, LINGER_ZERO)
                        return count, "reset"
                return count, "complete"
        except (OSError, EOFError, ValueError) as error:
            return count, ending + " (%s)" % error


def start(call):
    thread = threading.Thread(target=call.run, daemon=True)
    thread.start()
    return thread


def common_pair(machines):
    """Returns the first of two ports in a row that are free at all machines."""
    for _ in range(50):
        first = lab.free_pair(machines[0].host)
        try:
            for machine in machines[1:]:
                for port in (first, first + 1):
                    lab.listen(machine.host, port).close()
        except OSError:
            continue
        return first
    raise lab.Unusable("no two ports in a row are free at all machines")


def main(machines, trouble):
    store = Store()
    store.put("op", "config", lab.configuration())
    versions = ["v1"] * ENGINES_OF_A_VERSION + ["v2"] * ENGINES_OF_A_VERSION
    for number, version in enumerate(versions):
        lab.Engine(store, "lm-pool", number, version=version)
    lab.Engine(store, "billing-api", 99)
    zones = ("bole", "kazanchis", "piassa")
    machines += [lab.Machine(store, 1, zone, zones,
                             store_address=store.front_address if zone == zones[0] else None)
                 for zone in zones]
    internal = common_pair(machines)
    for machine in machines:
        # The machines find each other at the same port.
        machine.internal = internal
        machine.write_settings()
        machine.start()
    lab.wait_ready(machines)
    time.sleep(9)
    results, cut_machine, others = [], machines[0], machines[1:]

    ended = threading.Event()

    def steady(machine):
        while not ended.is_set():
            start(Call(machine, [one for one in machines if one is not machine], None, results))
            time.sleep(STEADY_PAUSE)

    for machine in machines:
        threading.Thread(target=steady, args=(machine,), daemon=True).start()
    time.sleep(2)
    for number in range(ROUNDS):
        began, broken, threads = time.monotonic(), threading.Event(), []
        if trouble:
            lab.RECORD.add("the paths of %s to the engines are cut" % cut_machine.name)
            for path in store.paths.values():
                path.cut()
        time.sleep(WAVE_AFTER)
        wave = []
        for machine in machines:
            for index in range(STREAMS):
                is_reset = machine is cut_machine and index < RESETS
                threads.append(start(Call(machine, others, broken if is_reset else None, wave)))
        time.sleep(max(0.0, began + RESET_AFTER - time.monotonic()))
        broken.set()
        time.sleep(max(0.0, began + CUT_SECONDS - time.monotonic()))
        if trouble:
            lab.RECORD.add("the paths of %s work again" % cut_machine.name)
            for path in store.paths.values():
                path.heal()
        for thread in threads:
            thread.join(max(0.0, began + ROUND_SECONDS - time.monotonic()))
        taken = [went_on for _, went_on in wave if went_on is not None]
        results += wave
        lab.RECORD.add("round %d: %d of %d streams that were taken up went on" % (
            number + 1, sum(taken), len(taken)))
        time.sleep(max(0.0, began + ROUND_SECONDS - time.monotonic()))
    ended.set()
    time.sleep(3)
    done = list(results)
    begun = [has_begun for has_begun, _ in done]
    taken = [went_on for _, went_on in done if went_on is not None]
    lab.RECORD.add("new streams that begin: %d of %d; taken up that go on: %d of %d" % (
        sum(begun), len(begun), sum(taken), len(taken)))
    print(lab.RECORD.lines[-1][1])
    if len(taken) < 12:
        raise lab.Unusable("too few streams were taken up")
    return sum(taken) / len(taken) < sum(begun) / len(begun) / 2


lab.run(CASE, main)

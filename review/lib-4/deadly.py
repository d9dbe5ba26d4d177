"""Engines that one part of a prompt crashes, and callers with and without that part."""

import random
import socket
import threading
import time

import lab

FIRST_PART, DEADLY_PART, SOUND_PART = "5c1e07a2:800", "00dead00:410", "91bd3f06:410"
PROMPT, OUTPUT = 1460, 50
DOWN_SECONDS = 2.0
# Time of an event of 5 tokens, at 4 ms a step.
PAUSE = 0.02
STABLE_WINDOW = 3.0


class Place:
    """The place of an engine, which starts again at its address some seconds after a crash."""

    def __init__(self, store, number, field):
        self.store, self.number, self.field = store, number, field
        self.start()

    def start(self, host=None, port=0):
        engine = lab.Engine(self.store, "lm-pool", self.number, host=host, port=port)
        engine.behave, engine.pause = self.behave, PAUSE

    def behave(self, engine, reader, sock, line, fields, body):
        if not engine.alive:
            return False
        is_deadly = DEADLY_PART in fields.get(lab.PREFIX.lower(), "")
        if not is_deadly or fields.get(lab.EXPECTED.lower(), engine.id) != engine.id:
            return lab.respond(engine, reader, sock, line, fields, body)
        attempt = fields[lab.ATTEMPT.lower()]
        self.field.reached.append(lab.now())
        engine.note(attempt, "runs, with the deadly part")
        time.sleep(0.03)
        self.begin(sock, engine, fields, attempt)
        self.crash(engine, attempt)
        return False

    def begin(self, sock, engine, fields, attempt):
        """Writes the first events of an answer."""
        if self.field.events_before == 0:
            return
        head = ["HTTP/1.1 200 OK", "Content-Type: text/event-stream", "Transfer-Encoding: chunked",
                "%s: %s" % (lab.ATTEMPT, attempt), "%s: %s.%s" % (lab.SIGNATURE, engine.id, attempt)]
        sock.sendall(("\r\n".join(head) + "\r\n\r\n").encode())
        first = int(fields.get("last-event-id", "0")) + 1
        for number in range(first, first + self.field.events_before):
            event = b"id: %d\ndata: %s\n\n" % (number, b"t" * 40)
            sock.sendall(b"%x\r\n%s\r\n" % (len(event), event))
            time.sleep(PAUSE)

    def crash(self, engine, attempt):
        with engine.lock:
            if not engine.alive:
                return
            engine.alive = False
            sockets = list(engine.sockets)
        engine.note(attempt, "has crashed the engine")
        self.field.crashes.append(lab.now())
        host, port = engine.server.getsockname()
        engine.server.shutdown(socket.SHUT_RDWR)
        engine.server.close()
        for one in sockets:
            try:
                one.shutdown(socket.SHUT_RDWR)
            except OSError:
                pass

        def back():
            time.sleep(DOWN_SECONDS)
            self.store.drop("servers", engine.id)
            self.start(host, port)

        threading.Thread(target=back, daemon=True).start()


class Pool:
    """Kept connections of the sound caller, each to a machine of the list that it was given."""

    def __init__(self, machines):
        self.machines = machines
        self.idle = []
        self.lock = threading.Lock()

    def take(self):
        with self.lock:
            if self.idle:
                return self.idle.pop()
        machine = pick(self.machines)
        return socket.create_connection((machine.host, machine.front), timeout=9), machine

    def give_back(self, kept):
        with self.lock:
            self.idle.append(kept)


def pick(machines):
    """Picks one of the addresses that the directory names."""
    listed = random.choice(machines).addresses()
    return random.choice([one for one in machines if "%s:%d" % (one.host, one.front) in listed])


class Field:
    """A small deployment with engines that crash, and its callers."""

    def __init__(self, machines, engines, events_before, sound_path="/stream/a"):
        self.crashes, self.reached, self.sound = [], [], []
        self.sound_path = sound_path
        self.events_before = events_before
        self.machines = machines
        self.stop = threading.Event()
        store = lab.Store()
        store.put("op", "config", lab.configuration())
        for number in range(engines):
            Place(store, number, self)
        lab.Engine(store, "billing-api", 99)
        zones = ("bole", "kazanchis", "piassa", "ayat")
        machines += [lab.Machine(store, number, zone, zones) for zone in zones for number in (1, 2)]
        self.pool = Pool(machines)
        for machine in machines:
            machine.start()
        lab.wait_ready(machines)
        time.sleep(8)

    def spawn_traffic(self, interval, deadly, delay=0.0, batch=1):
        def loop():
            if self.stop.wait(delay):
                return
            while not self.stop.wait(interval):
                threading.Thread(target=self.send_batch, args=(deadly, batch), daemon=True).start()

        threading.Thread(target=loop, daemon=True).start()

    def send_batch(self, deadly, count):
        for _ in range(count):
            self.send(deadly)

    def send(self, deadly):
        attempt = lab.attempt_id()
        parts = [FIRST_PART, DEADLY_PART if deadly else SOUND_PART, "%s:250" % attempt[:8]]
        fields = {"Host": "w.example", lab.ATTEMPT: attempt, "X-Lacewingpost-Model": "m",
                  lab.COUNTS: "%d,%d" % (PROMPT, OUTPUT), lab.PREFIX: ",".join(parts),
                  lab.DEADLINE: "8000", "Api-Key": "key-one"}
        sent_at, begun, ending, name = lab.now(), False, "no answer", "nobody"
        is_whole = False
        try:
            if deadly:
                machine = random.choice(self.machines)
                sock = socket.create_connection((machine.host, machine.front), timeout=9)
            else:
                sock, machine = self.pool.take()
            name = machine.name
            sock.sendall(lab.encode("POST", "/stream/a" if deadly else self.sound_path, "w.example", fields,
                                    b"p%s" % attempt.encode()))
            reader = lab.Reader(sock)
            line, got = reader.head()
            ending = line.split(" ")[1]
            if ending == "200":
                while part := reader.chunk():
                    begun = begun or b"\n\n" in part
                is_whole = True
            else:
                ending += " " + reader.body(got).decode().strip()
            if deadly or got.get("connection", "").lower() == "close":
                sock.close()
            else:
                self.pool.give_back((sock, machine))
        except (OSError, EOFError, ValueError, IndexError) as error:
            ending += " (%s)" % error
        kind = "with the deadly part" if deadly else "sound"
        lab.RECORD.add("client: %s %s, sent at %.3f to %s: %s, begun: %s" % (
            attempt, kind, sent_at, name, ending, begun))
        if not deadly:
            self.sound.append((sent_at, begun, is_whole))

    def fifth_crash(self):
        """Returns the time of the fifth crash, or of the last if there were fewer."""
        return self.crashes[4] if len(self.crashes) > 4 else self.crashes[-1] if self.crashes else None

"""Engines close the connection after some of their reports; streams that callers take up are refused."""

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
WAVES, WAVE_SECONDS = 13, 7.0
# New streams at each machine in a wave, and those of them at the first machine whose connections are
# reset: at most 0.55 of the connections of 0.35 of the machines, as in the site file.
STREAMS, RESETS = 12, 6
# One report in so many is answered with `Connection: close`.
CLOSES_ONE_IN = 4


def make_behaviour(trouble):
    def behave(engine, reader, sock, line, fields, body):
        if line.split(" ")[1] != "/lacewingpost/report":
            return lab.respond(engine, reader, sock, line, fields, body)
        closes = trouble and random.randrange(CLOSES_ONE_IN) == 0
        text = lab.report(engine)
        sock.sendall(lab.answer(200, text, [("Connection", "close")] if closes else []))
        lab.RECORD.add("engine %s: reports%s" % (engine.id, ", closes the connection" if closes else ""))
        return not closes
    return behave


class Call:
    """A stream whose connection is reset after some events, and which its caller takes up."""

    def __init__(self, machine, others, broken, results):
        self.machine, self.others, self.broken, self.results = machine, others, broken, results

    def run(self):
        attempt = lab.attempt_id()
        fields = {"Host": "w.example", lab.ATTEMPT: attempt, "X-Lacewingpost-Model": "m",
                  lab.COUNTS: "%d,%d" % (PROMPT, OUTPUT),
                  lab.PREFIX: "5c1e07a2:800,91bd3f06:410,%s:250" % attempt[:8],
                  lab.DEADLINE: "5000", "Api-Key": "key-one"}
        machine = self.machine
        had, ending = self.read(machine, fields, 0, self.broken)
        if not had or "complete" in ending:
            self.results.append((bool(had), None))
            return
        fields.update({lab.ATTEMPT: lab.attempt_id(), "Last-Event-Id": str(had), "Resumes": attempt})
        # The other machines have had no reset, and are in touch.
        other = random.choice(self.others)
        more, second = self.read(other, fields, had, None)
        self.results.append((True, more > 0))
        lab.RECORD.add("client: %s had %d events, taken up at %s: %s" % (attempt, had, other.name, second))

    def read(self, machine, fields, had, broken):
        count, ending = 0, "no answer"
        try:
            with socket.create_connection((machine.host, machine.front), timeout=6) as sock:
                sock.sendall(lab.encode("POST", "/stream/a", "w.example", fields, b"p" * 400))
                reader = lab.Reader(sock)
                line, got = reader.head()
                ending = line.split(" ")[1]
                if ending != "200":
                    return count, ending + " " + reader.body(got).decode().strip()
                while part := reader.chunk():
                    count += part.count(b"\n\n")
                    if broken is not None and broken.is_set():
                        sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, b"\1\0\0\0\0\0\0\0")
                        return count, "reset"
                return count, "complete"
        except (OSError, EOFError, ValueError) as error:
            return count, ending + " (%s)" % error


def main(machines, trouble):
    store = lab.Store()
    config = lab.configuration()
    for route in config["routes"]:
        if route["name"] == "r-stream":
            route["timeout_ms"] = 5000
    store.put("op", "config", config)
    engines = [lab.Engine(store, "lm-pool", number, version=version)
               for number, version in enumerate(["v1"] * 2 + ["v2"] * 2)]
    for engine in engines:
        engine.behave = make_behaviour(trouble)
    lab.Engine(store, "billing-api", 99)
    zones = ("bole", "kazanchis", "piassa")
    machines += [lab.Machine(store, 1, zone, zones) for zone in zones]
    for machine in machines:
        machine.start()
    lab.wait_ready(machines)
    time.sleep(9)
    results = []
    for wave in range(WAVES):
        began, broken, threads = time.monotonic(), threading.Event(), []
        before = len(results)
        for machine in machines:
            for number in range(STREAMS):
                is_reset = machine is machines[0] and number < RESETS
                call = Call(machine, machines[1:], broken if is_reset else None, results)
                threads.append(threading.Thread(target=call.run, daemon=True))
                threads[-1].start()
        time.sleep(0.45)
        broken.set()
        for thread in threads:
            thread.join(max(0.0, began + WAVE_SECONDS - time.monotonic()))
        taken = [went_on for _, went_on in results[before:] if went_on is not None]
        lab.RECORD.add("wave %d: %d of %d streams that were taken up went on" % (wave + 1, sum(taken), len(taken)))
        time.sleep(max(0.0, began + WAVE_SECONDS - time.monotonic()))
    begun = [has_begun for has_begun, _ in results]
    taken = [went_on for _, went_on in results if went_on is not None]
    lab.RECORD.add("new streams that begin: %d of %d; taken up that go on: %d of %d" % (
        sum(begun), len(begun), sum(taken), len(taken)))
    print(lab.RECORD.lines[-1][1])
    if len(taken) < 12:
        raise lab.Unusable("too few streams were taken up")
    return sum(taken) / len(taken) < sum(begun) / len(begun) / 2


lab.run(CASE, main)

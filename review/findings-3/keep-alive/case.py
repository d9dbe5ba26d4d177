"""Sound engines state a very long lifetime of their kept connections."""

import os
import socket
import sys
import time

CASE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(os.path.dirname(os.path.dirname(CASE)), "lib-4"))
import lab  # noqa: E402

REQUESTS = 40
LIFETIME = 2**64 - 1


def make_behaviour(trouble):
    def behave(engine, reader, sock, line, fields, body):
        attempt = fields.get(lab.ATTEMPT.lower())
        if attempt is None or lab.COUNTS.lower() in fields:
            return lab.respond(engine, reader, sock, line, fields, body)
        engine.note(attempt, "runs")
        time.sleep(0.02)
        signed = [(lab.ATTEMPT, attempt), (lab.SIGNATURE, "%s.%s" % (engine.id, attempt)),
                  ("Keep-Alive", "timeout=%d" % (LIFETIME if trouble else 4))]
        sock.sendall(lab.answer(200, b"x" * 800, signed))
        return True
    return behave


def main(machines, trouble):
    store = lab.Store()
    store.put("op", "config", lab.configuration())
    engines = [lab.Engine(store, "billing-api", number) for number in range(4)]
    for engine in engines:
        engine.behave = make_behaviour(trouble)
    lab.Engine(store, "lm-pool", 9)
    zones = ("bole", "kazanchis", "piassa")
    machines += [lab.Machine(store, 1, zone=zone, zones=zones) for zone in zones]
    for machine in machines:
        machine.start()
    lab.wait_ready(machines)
    time.sleep(6)
    unanswered = 0
    kept = {}
    for number in range(REQUESTS):
        machine = machines[number % 3]
        attempt = lab.attempt_id()
        fields = {"Host": "w.example", lab.ATTEMPT: attempt, lab.DEADLINE: "1000", "Api-Key": "key-one"}
        sock = kept.pop(machine, None) or socket.create_connection((machine.host, machine.front), timeout=2)
        ending = "closed without an answer"
        try:
            sock.sendall(lab.encode("POST", "/unsafe/a", "w.example", fields, b"p" * 100))
            reader = lab.Reader(sock)
            line, got = reader.head()
            reader.body(got)
            ending = line
            kept[machine] = sock
        except (OSError, EOFError) as error:
            ran = any(ran_attempt == attempt for engine in engines for _, ran_attempt, _ in engine.runs)
            unanswered += ran
            ending += " (%s), an engine ran it: %s" % (error, ran)
            sock.close()
        lab.RECORD.add("client: unsafe request %s to %s: %s" % (attempt, machine.name, ending))
    lab.RECORD.add("requests that an engine ran and that ended without an answer: %d of %d" % (unanswered, REQUESTS))
    print(lab.RECORD.lines[-1][1])
    return unanswered > 3


lab.run(CASE, main)

"""An engine spoils a stream and works on; the machine lets another one go on before it hangs up."""

import os
import socket
import sys
import threading
import time

CASE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(os.path.dirname(CASE), "lib-4"))
import lab  # noqa: E402

PROMPT, OUTPUT = 17_020, 120
EVENTS = OUTPUT // 5
STREAMS = 12
# Time from the arrival of a request to its first event: the aim of the sheet.
PREFILL_SECONDS = 0.6
PAUSE = 0.1
# Bound of the rule.
BOUND_SECONDS = 0.4


class Works:
    """When each engine began and ended its work on each request."""

    def __init__(self):
        self.lock = threading.Lock()
        self.spans = {}
        self.spoiled = set()

    def begin(self, attempt, engine):
        with self.lock:
            self.spans.setdefault(attempt, []).append([engine.id, lab.now(), None])
            return self.spans[attempt][-1]


def is_closed(sock):
    """Returns true if the peer has closed the connection."""
    try:
        return sock.recv(1, socket.MSG_PEEK | socket.MSG_DONTWAIT) == b""
    except BlockingIOError:
        return False
    except OSError:
        return True


def make_behaviour(works, trouble):
    def behave(engine, reader, sock, line, fields, body):
        attempt = fields.get(lab.ATTEMPT.lower())
        if attempt is None or lab.COUNTS.lower() not in fields:
            return lab.respond(engine, reader, sock, line, fields, body)
        if fields.get(lab.EXPECTED.lower(), engine.id) != engine.id:
            return lab.respond(engine, reader, sock, line, fields, body)
        with works.lock:
            spoils = trouble and attempt not in works.spoiled
            works.spoiled.add(attempt)
        span = works.begin(attempt, engine)
        after = int(fields.get("last-event-id", "0"))
        engine.note(attempt, "runs after event %d" % after)
        try:
            return work(engine, sock, fields, attempt, after, spoils)
        finally:
            span[2] = lab.now()
            engine.note(attempt, "ends its work")
    return behave


def work(engine, sock, fields, attempt, after, spoils):
    until = time.monotonic() + PREFILL_SECONDS
    while time.monotonic() < until:
        if is_closed(sock):
            return False
        time.sleep(0.01)
    head = ["HTTP/1.1 200 OK", "Content-Type: text/event-stream", "Transfer-Encoding: chunked",
            "%s: %s" % (lab.ATTEMPT, attempt), "%s: %s.%s" % (lab.SIGNATURE, engine.id, attempt)]
    sock.sendall(("\r\n".join(head) + "\r\n\r\n").encode())
    for number in range(after + 1, EVENTS + 1):
        if is_closed(sock):
            return False
        if spoils and number > 4:
            # Bytes that are no answer, in place of a chunk; the run goes on.
            if number == 5:
                engine.note(attempt, "sends bytes that are no answer")
                sock.sendall(b"\x07spoiled\r\n")
            time.sleep(PAUSE)
            continue
        event = b"id: %d\ndata: %s\n\n" % (number, b"t" * 40)
        sock.sendall(b"%x\r\n%s\r\n" % (len(event), event))
        time.sleep(PAUSE)
    if not spoils:
        sock.sendall(b"0\r\n\r\n")
    return not spoils


def read_stream(machine, results):
    attempt = lab.attempt_id()
    fields = {"Host": "w.example", lab.ATTEMPT: attempt, "X-Lacewingpost-Model": "m",
              lab.COUNTS: "%d,%d" % (PROMPT, OUTPUT),
              lab.PREFIX: "5c1e07a2:13300,%s:3720" % attempt[:8],
              lab.DEADLINE: "8000", "Api-Key": "key-one"}
    lab.RECORD.add("client: %s to %s" % (attempt, machine.name))
    ids, ending = [], "no answer"
    try:
        with socket.create_connection((machine.host, machine.front), timeout=9) as sock:
            sock.sendall(lab.encode("POST", "/stream/a", "w.example", fields, b"p" * 400))
            reader = lab.Reader(sock)
            line, got = reader.head()
            ending = line.split(" ")[1]
            while part := reader.chunk():
                ids += [int(text) for text in part.decode().split() if text.isdigit()]
            ending += ", complete"
    except (OSError, EOFError, ValueError) as error:
        ending += " (%s)" % error
    results.append((attempt, ending, ids))
    lab.RECORD.add("client: %s ends with %s, events %s" % (attempt, ending, ids))


def main(machines, trouble):
    store = lab.Store()
    store.put("op", "config", lab.configuration())
    engines = [lab.Engine(store, "lm-pool", number) for number in range(4)]
    engines.append(lab.Engine(store, "billing-api", 9))
    works = Works()
    for engine in engines:
        engine.behave = make_behaviour(works, trouble)
    zones = ("bole", "kazanchis", "piassa")
    machines += [lab.Machine(store, 1, zone=zone, zones=zones) for zone in zones]
    for machine in machines:
        machine.start()
    lab.wait_ready(machines)
    time.sleep(10)
    results, threads = [], []
    for number in range(STREAMS):
        thread = threading.Thread(target=read_stream, args=(machines[number % 3], results), daemon=True)
        thread.start()
        threads.append(thread)
        time.sleep(0.5)
    for thread in threads:
        thread.join(10)
    time.sleep(1)
    overlaps = []
    for attempt, spans in works.spans.items():
        for first, second in zip(spans, spans[1:]):
            overlap = (first[2] or lab.now()) - second[1]
            lab.RECORD.add("%s: %s ended its work %.3f s after %s had got the request" % (
                attempt, first[0], overlap, second[0]))
            if overlap > BOUND_SECONDS:
                overlaps.append(overlap)
    lab.RECORD.add("streams %d, taken over %d, with both engines at work for over %.1f s: %d" % (
        len(results), sum(len(spans) > 1 for spans in works.spans.values()), BOUND_SECONDS,
        len(overlaps)))
    print(lab.RECORD.lines[-1][1])
    return bool(overlaps)


lab.run(CASE, main)

"""A crowd sends requests of legal size whose prompts have very many short parts."""

import os
import signal
import socket
import sys
import threading
import time

CASE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(os.path.dirname(CASE), "lib-4"))
import lab  # noqa: E402

MEMORY_MB = 110
CROWD, ROUNDS = 900, 3
PARTS = 4000
# Time until an engine has read the prompts that came before.
QUEUE_SECONDS = 3.0
RESTART_SECONDS = 0.5


def behave(engine, reader, sock, line, fields, body):
    if lab.ATTEMPT.lower() not in fields or lab.COUNTS.lower() not in fields:
        return lab.respond(engine, reader, sock, line, fields, body)
    time.sleep(QUEUE_SECONDS)
    return lab.respond(engine, reader, sock, line, fields, body)


class Keeper:
    """Ends a process that exceeds the memory of its machine, and starts it again, as the platform does."""

    def __init__(self, machines):
        self.machines = machines
        self.peaks = {machine.name: 0 for machine in machines}
        self.ends = {machine.name: 0 for machine in machines}
        self.is_closed = False
        self.thread = threading.Thread(target=self.watch, daemon=True)
        self.thread.start()

    def watch(self):
        page = os.sysconf("SC_PAGE_SIZE")
        while not self.is_closed:
            time.sleep(0.01)
            for machine in self.machines:
                try:
                    with open("/proc/%d/statm" % machine.process.pid) as statm:
                        held = int(statm.read().split()[1]) * page
                except (OSError, IndexError):
                    continue
                self.peaks[machine.name] = max(self.peaks[machine.name], held)
                if held > MEMORY_MB * 1_000_000:
                    lab.RECORD.add("machine %s holds %d bytes, more than its memory" % (
                        machine.name, held))
                    self.ends[machine.name] += 1
                    machine.signal(signal.SIGKILL)
                    machine.process.wait()
                    time.sleep(RESTART_SECONDS)
                    machine.start()

    def close(self):
        self.is_closed = True
        self.thread.join()


def send(machine, parts, endings):
    attempt = lab.attempt_id()
    prefix = ",".join(["1:1"] * parts)
    fields = {"Host": "w.example", lab.ATTEMPT: attempt, "X-Lacewingpost-Model": "m",
              lab.COUNTS: "%d,80" % PARTS, lab.PREFIX: prefix, lab.DEADLINE: "8000",
              "Api-Key": "key-one"}
    ending = "no answer"
    try:
        with socket.create_connection((machine.host, machine.front), timeout=9) as sock:
            message = lab.encode("POST", "/stream/a", "w.example", fields, b"p" * 100)
            assert message.index(b"\r\n\r\n") + 4 <= 16384, "the head is larger than header_bytes"
            sock.sendall(message)
            reader = lab.Reader(sock)
            line, got = reader.head()
            ending = line.split(" ")[1]
    except (OSError, EOFError, ValueError) as error:
        ending += " (%s)" % error
    endings.append(ending)


def main(machines, trouble):
    store = lab.Store()
    store.put("op", "config", lab.configuration(prepaid=10**9))
    engines = [lab.Engine(store, "lm-pool", number) for number in range(12)]
    for engine in engines:
        engine.behave = behave
    lab.Engine(store, "billing-api", 99)
    zones = ("quito-a", "quito-b", "quito-c")
    machines += [lab.Machine(store, 1, zone, zones, memory_mb=MEMORY_MB) for zone in zones]
    for machine in machines:
        machine.start()
    keeper = Keeper(machines)
    lab.wait_ready(machines)
    time.sleep(8)
    for number in range(ROUNDS):
        for machine in machines[:2]:
            lab.wait_ready([machine])
            endings, threads = [], []
            for _ in range(CROWD):
                arguments = (machine, PARTS if trouble else 3, endings)
                threads.append(threading.Thread(target=send, args=arguments, daemon=True))
                threads[-1].start()
                time.sleep(0.002)
            for thread in threads:
                thread.join(10)
            counts = {ending: endings.count(ending) for ending in set(endings)}
            lab.RECORD.add("round %d at %s: %d requests with %d parts end with %s" % (
                number + 1, machine.name, CROWD, PARTS if trouble else 3, sorted(counts.items())))
            time.sleep(1)
    keeper.close()
    for machine in machines:
        lab.RECORD.add("machine %s: at most %d bytes, ended %d times" % (
            machine.name, keeper.peaks[machine.name], keeper.ends[machine.name]))
        print(lab.RECORD.lines[-1][1])
    return sum(ends >= 3 for ends in keeper.ends.values()) >= 2


lab.run(CASE, main)

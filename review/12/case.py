"""A part of a prompt crashes each engine that has written the first two events of an answer on it."""

import os
import sys
import time

CASE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(os.path.dirname(CASE), "lib-4"))
import deadly  # noqa: E402
import lab  # noqa: E402

SOUND_INTERVAL, DEADLY_INTERVAL = 0.1, 0.5
SECONDS = 40.0
# Bound of the rule.
MAX_REACHED = 3


def main(machines, trouble):
    field = deadly.Field(machines, engines=12, events_before=2, sound_path="/once/a")
    field.spawn_traffic(SOUND_INTERVAL, False)
    if trouble:
        field.spawn_traffic(DEADLY_INTERVAL, True, 5.0)
    time.sleep(SECONDS)
    field.stop.set()
    time.sleep(3)
    fifth = field.fifth_crash()
    late = [at for at in field.reached if fifth is not None and at > fifth + deadly.STABLE_WINDOW]
    begun = [is_whole for _, begun, is_whole in field.sound if begun]
    lab.RECORD.add("crashes: %s" % ["%.2f" % at for at in field.crashes])
    lab.RECORD.add("sound streams: %d sent, %d began, %d of these were whole" % (
        len(field.sound), len(begun), sum(begun)))
    print(lab.RECORD.lines[-1][1])
    lab.RECORD.add("%d crashes; %d requests with the part reached engines later than %.0f s after the "
                   "fifth" % (len(field.crashes), len(late), deadly.STABLE_WINDOW))
    print(lab.RECORD.lines[-1][1])
    return len(late) > MAX_REACHED


lab.run(CASE, main)

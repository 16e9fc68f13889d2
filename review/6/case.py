"""An unanswered order of promotion is carried out after its cause is over.

One service with ``sync_replicas`` 1: primary ledger-0, replicas ledger-1 and
ledger-2. The operator replaces ledger-2 as planned. Meanwhile the primary is
dark for a moment, and the orders of that time get no answer and are carried
out 8 s later.
"""

from __future__ import annotations

from pathlib import Path
import sys

import gevent

from lab_2 import is_troubled
from lab_2 import Lab
from lab_2 import run_case
from lab_2 import Writer

RECORD_PATH = Path(__file__).with_name('record.txt')
DRAIN_S = 7.3
DARK_S = 1.6
LATE_S = 8.0


def main() -> int:
    lab = Lab(RECORD_PATH, synchronous=1)
    return run_case(lab, play)


def play(lab: Lab) -> int:
    record, log = lab.record, lab.group.log
    lab.start()
    gevent.sleep(3)
    writers = [Writer(lab, f'w{n}', 0.1) for n in range(4)]
    lost: list[str] = []

    def on_promoted(member: str) -> None:
        held = {
            data
            for entry in log.members[member].log
            for _, data in entry.writes
        }
        missing = [
            data
            for w in writers
            for _, data in w.acknowledged
            if data not in held
        ]
        lost.extend(missing)
        record.say(
            f'{member} is promoted with {len(log.members[member].log)} '
            f'commits; {len(missing)} acknowledged ones are not in its log'
        )
        if missing:
            record.say(f'not in its log: {missing[0]} to {missing[-1]}')

    lab.promotions.on_promoted = on_promoted
    greenlets = [gevent.spawn(w.run) for w in writers]
    gevent.sleep(3)
    record.say('planned: ledger-2 announces its stop')
    lab.group.announce_stop('ledger-2')
    release = gevent.spawn_later(DRAIN_S, lab.replace, 'ledger-2', 'ledger-3')
    gevent.sleep(4)
    if is_troubled():
        record.say(f'ledger-0 goes dark for {DARK_S} s')
        lab.promotions.late_s = LATE_S
        set_dark(lab, True)
        gevent.sleep(DARK_S)
        set_dark(lab, False)
        record.say('ledger-0 is back')
        gevent.sleep(1.5)
        lab.promotions.late_s = None
    else:
        gevent.sleep(DARK_S + 1.5)
    release.join()
    gevent.sleep(LATE_S - 0.5)
    for writer in writers:
        writer.is_stopping = True
    gevent.joinall(greenlets, timeout=5)
    sent = sum(len(w.sent) for w in writers)
    acknowledged = sum(len(w.acknowledged) for w in writers)
    record.say(f'{sent} writes sent, {acknowledged} acknowledged')
    if not acknowledged:
        return 2
    if lost:
        record.say(f'LOST broken: {len(lost)} acknowledged commits')
        return 1
    record.say('LOST held')
    return 0


def set_dark(lab: Lab, is_dark: bool) -> None:
    """Cut the primary off from the hosts and from its replicas."""
    link = lab.links['ledger-0']
    if is_dark:
        link.cut()
    else:
        link.heal()
    for member, state in lab.group.log.members.items():
        if member != 'ledger-0':
            state.is_deaf = is_dark


if __name__ == '__main__':
    sys.exit(main())

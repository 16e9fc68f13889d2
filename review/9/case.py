"""A zone is cut off for 5.5 s; a service takes no write ever after.

One service with ``sync_replicas`` 1. The zone that is cut off has the primary
and the platform's promotion service; the entry hosts of the other two zones,
the replicas and the store see each other all the while. After the cut all
entry hosts are killed and start again, as at the end of many a day.
"""

from __future__ import annotations

from pathlib import Path
import sys

import gevent

from lab_2 import BOUNDS
from lab_2 import is_troubled
from lab_2 import Lab
from lab_2 import run_case
from lab_2 import Writer

RECORD_PATH = Path(__file__).with_name('record.txt')
CUT_S = 5.5
DOWN_S = 1.4
JUDGED_S = 12.0
MIN_SHARE = 0.25


def main() -> int:
    lab = Lab(
        RECORD_PATH,
        synchronous=1,
        hosts=('gr-north-b', 'gr-north-b', 'gr-north-c', 'gr-north-c'),
    )
    return run_case(lab, play)


def play(lab: Lab) -> int:
    record = lab.record
    lab.start()
    gevent.sleep(3)
    writers = [Writer(lab, f'w{n}', 0.1) for n in range(4)]
    greenlets = [gevent.spawn(w.run) for w in writers]
    gevent.sleep(8)
    if is_troubled():
        record.say(f'zone gr-north-a is cut off for {CUT_S} s')
        set_cut(lab, True)
        gevent.sleep(CUT_S)
        set_cut(lab, False)
        record.say('zone gr-north-a is back')
    else:
        gevent.sleep(CUT_S)
    gevent.sleep(4)
    fault_at = record.now
    if is_troubled():
        record.say(f'all entry hosts are killed, for {DOWN_S} s')
        for host in lab.hosts:
            host.kill()
        gevent.sleep(DOWN_S)
        for host in lab.hosts:
            host.start()
    back_at = record.now
    gevent.sleep(BOUNDS['recover_s'] + JUDGED_S)
    for writer in writers:
        writer.is_stopping = True
    gevent.joinall(greenlets, timeout=5)
    before = served(writers, 0.0, fault_at)
    after = served(writers, back_at + BOUNDS['recover_s'], float('inf'))
    record.say('before the final fault {} of {} served'.format(*before))
    record.say(
        'later than recover_s after the hosts are back {} of {} served'.format(
            *after
        )
    )
    for member, state in lab.group.log.members.items():
        record.say(
            f'{member}: primary {state.is_primary}, '
            f'held {state.is_replication_paused}, {len(state.log)} commits'
        )
    if before[0] < MIN_SHARE * before[1] or not after[1]:
        return 2
    if after[0] < MIN_SHARE * after[1]:
        record.say('RECOVER broken')
        return 1
    record.say('RECOVER held')
    return 0


def set_cut(lab: Lab, is_cut: bool) -> None:
    """Cut zone gr-north-a off: ledger-0 and the promotion service."""
    for link in (lab.links['ledger-0'], lab.promotion_link):
        if is_cut:
            link.refuse()
        else:
            link.heal()
    for member, state in lab.group.log.members.items():
        if member != 'ledger-0':
            state.is_deaf = is_cut


def served(
    writers: list[Writer], since: float, until: float
) -> tuple[int, int]:
    """Return how many of the filings that were sent in a time were served."""
    sent = [d for w in writers for at, d in w.sent if since <= at < until]
    done = {d for w in writers for _, d in w.acknowledged}
    return sum(d in done for d in sent), len(sent)


if __name__ == '__main__':
    sys.exit(main())

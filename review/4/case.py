"""A commit behind a configuration change counts for the wrong service.

A transaction is open on the old service while a configuration moves its
database to another service. Its commit is recorded as a proof of the new
service, whose replicas are then read with a floor of the old service's log.
"""

import asyncio
import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1]))

import world as w

LAG_S = 6.0
MAX_STALENESS_S = 1.5


async def script(world):
    old = world.service('ledger-old')
    new = world.service('ledger-new')
    for group, tag in ((old, 'old'), (new, 'new')):
        group.add(f'i-{tag}-p', 'zone-a', is_primary=True)
        group.add(f'i-{tag}-b', 'zone-b', lag_s=LAG_S)
        group.add(f'i-{tag}-c', 'zone-c', lag_s=LAG_S)
    for group in (old, new):
        for member in group.members.values():
            await member.start()
    routes = {
        'orders': ('session', 'ledger-old'),
        'filings': ('primary', 'ledger-new'),
        'lookups': ('bounded', 'ledger-new'),
    }
    world.configure(routes)
    await world.start_hosts('zone-b', 'zone-a')
    host, other = world.hosts
    acked = []

    async def write_on():
        client = await world.client(other, 'filings').open()
        number = 0
        while True:
            number += 1
            answer = await client.ask(f'WRITE k v{number}')
            if answer.is_done:
                position = answer.ready.split(' ')[2]
                acked.append((answer.at, int(position.split('.')[1])))
            await asyncio.sleep(0.05)

    # The new service is in use through another host.
    writing = asyncio.create_task(write_on())
    await asyncio.sleep(9)
    mover = await world.client(host, 'orders').open()
    for text in ('BEGIN', 'WRITE k mine', 'READ k'):
        if not (await mover.ask(text)).is_done:
            raise w.CannotRun(text)
    moved = {**routes, 'orders': ('session', 'ledger-new')}
    if w.TROUBLE:
        world.configure(moved)
        await asyncio.sleep(0.6)
        answer = await mover.ask('COMMIT')
    else:
        # The same, but the commit comes before the change.
        answer = await mover.ask('COMMIT')
        world.configure(moved)
        await asyncio.sleep(0.6)
    if not answer.is_done:
        raise w.CannotRun('COMMIT')
    readers = [
        await world.client(host, 'lookups').open() for _ in range(4)
    ]
    for _ in range(12):
        await asyncio.gather(*(r.ask('READ k') for r in readers))
        await asyncio.sleep(0.1)
    writing.cancel()
    broken = []
    reads = 0
    for run in new.runs:
        sent = world.sent.get(run['id'])
        if sent is None or run['verb'] != 'READ':
            continue
        reads += 1
        due = [n for at, n in acked if at < sent[2] - MAX_STALENESS_S]
        if due and run['log'] < due[-1]:
            broken.append(
                f'STALE: {run["id"]} ran at {run["member"].name}, whose log '
                f'stood at 1.{run["log"]} and lacked 1.{due[-1]}, which was '
                'acknowledged over 1.5 s before'
            )
    if reads < 20:
        raise w.CannotRun(f'only {reads} reads ran')
    return broken


w.main(script, Path(__file__).with_name('record.txt'))

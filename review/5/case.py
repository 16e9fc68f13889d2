"""A replica that is about to stop is promoted and keeps getting requests."""

import asyncio
import sys
import time
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1]))

import world as w

DRAIN_S = 7.0


async def script(world):
    group = world.service('ledger')
    primary = group.add('i-p', 'zone-a', is_primary=True)
    leaving = group.add('i-leaving', 'zone-b')
    deaf = group.add('i-deaf', 'zone-c')
    for member in group.members.values():
        await member.start()
    world.configure(
        {'filings': ('primary', 'ledger'), 'orders': ('session', 'ledger')}
    )
    await world.start_hosts('zone-a', 'zone-b', 'zone-c')
    stopping = asyncio.Event()
    tasks = [
        asyncio.create_task(_work(world, host, database, stopping))
        for host in world.hosts
        for database in ('filings', 'orders')
    ]
    await asyncio.sleep(5)
    # Planned: the replica is replaced. Its successor joins at once.
    successor = group.add('i-new', 'zone-b')
    successor.log = list(leaving.log)
    await successor.start()
    await asyncio.sleep(1)
    leaving.drain()
    await asyncio.sleep(4.0)
    if w.TROUBLE:
        # The other replicas receive nothing for a while, and the primary
        # crashes meanwhile (replica_lag, "deaf crash").
        deaf.is_deaf = successor.is_deaf = True
        world.record.line('trouble', 'i-deaf and i-new receive nothing')
    await asyncio.sleep(3.2)
    if w.TROUBLE:
        primary.crash()
    await asyncio.sleep(3.0)
    if w.TROUBLE:
        deaf.is_deaf = successor.is_deaf = False
        world.record.line('trouble', 'i-deaf and i-new receive again')
    await asyncio.sleep(2.0)
    leaving.crash()
    await asyncio.sleep(2.0)
    stopping.set()
    await asyncio.gather(*tasks)
    served = sum(r.get('id') in world.sent for r in group.runs)
    if served < 200:
        raise w.CannotRun(f'only {served} statements ran')
    late = [
        r
        for r in group.runs
        if r['member'] is leaving
        and r['id'] in world.sent
        and r['at'] - leaving.drain_acked_at > DRAIN_S
    ]
    if not late:
        return []
    worst = max(r['at'] for r in late) - leaving.drain_acked_at
    return [
        f'DRAIN: {len(late)} requests reached i-leaving later than '
        f'{DRAIN_S:g} s after the ack of draining, the last one after '
        f'{worst:.2f} s'
    ]


async def _work(world, host, database, stopping):
    client = await world.client(host, database).open()
    number = 0
    while not stopping.is_set():
        number += 1
        text = 'READ k1'
        if number % 4 == 0:
            text = f'WRITE k{number % 7} {client.name}.{number}'
        answer = await client.ask(text)
        if not answer.ready:
            client = await world.client(host, database).open()
        await asyncio.sleep(0.03)
    client.close()


w.main(script, Path(__file__).with_name('record.txt'))

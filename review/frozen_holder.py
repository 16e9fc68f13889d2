"""A holder of connections that was frozen runs reads that were cancelled.

Of three entry hosts, each holds the connections to the members of its zone,
since the members take too few for all of them. The middle one has no member
in its zone and relays all its reads.
"""

import asyncio
import signal
import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parent))

import world as w

FREEZE_S = 1.2


async def freeze(host):
    if w.TROUBLE:
        host.signal(signal.SIGSTOP)
    await asyncio.sleep(FREEZE_S)
    if w.TROUBLE:
        host.signal(signal.SIGCONT)


async def script(world):
    group = world.service('ledger')
    group.add('i-p', 'zone-a', is_primary=True)
    group.add('i-b', 'zone-c')
    group.add('i-c', 'zone-c')
    for member in group.members.values():
        await member.start()
    world.configure(
        {
            'filings': ('primary', 'ledger'),
            'lookups': ('bounded', 'ledger'),
        },
        max_conns=5,
    )
    await world.start_hosts('zone-a', 'zone-b', 'zone-c')
    entry, frozen = world.hosts[1], world.hosts[2]
    acked = {}

    async def set_value(client, value):
        answer = await client.ask(f'SET region {value}')
        if answer.is_done:
            acked.setdefault(client, []).append((answer.at, value))

    writer = await world.client(world.hosts[0], 'filings').open()
    clients = [await world.client(entry, 'lookups').open() for _ in range(8)]
    for number, client in enumerate(clients):
        await set_value(client, f'one{number}')
    for number in range(25):
        await writer.ask(f'WRITE k v{number}')
        await asyncio.gather(*(c.ask('READ k') for c in clients))
        await asyncio.sleep(0.04)
    freezing = asyncio.create_task(freeze(frozen))
    await asyncio.sleep(0.03)

    async def read_and_set(number, client):
        answer = await client.ask('READ k')
        if answer.is_done:
            await set_value(client, f'two{number}')

    await asyncio.gather(
        *(read_and_set(n, c) for n, c in enumerate(clients[:4]))
    )
    await freezing
    await asyncio.sleep(1.5)
    await asyncio.gather(*(c.ask('READ k') for c in clients))
    broken = []
    count = 0
    for run in group.runs:
        sent = world.sent.get(run['id'])
        if sent is None or sent[0] not in acked:
            continue
        count += 1
        client, text, sent_at = sent
        value = [v for at, v in acked[client] if at < run['at']][-1]
        if run['values'].get('region') != value:
            broken.append(
                f'PINNED: {run["id"]} of {client.name} ran at '
                f'{run["member"].name} {run["at"] - sent_at:.2f} s after it '
                f'was sent, with {run["values"]}, while {value!r} had been '
                'acknowledged to its client'
            )
    if count < 50:
        raise w.CannotRun(f'only {count} reads ran')
    return broken


w.main(script, Path(__file__).with_suffix('.record.txt'))

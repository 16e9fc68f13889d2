"""Prepared shapes that contain blanks, on connections that clients share."""

import asyncio
import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1]))

import world as w


async def script(world):
    group = world.service('ledger')
    group.add('i-p', 'zone-a', is_primary=True)
    group.add('i-b', 'zone-b')
    group.add('i-c', 'zone-c')
    for member in group.members.values():
        await member.start()
    world.configure({'filings': ('primary', 'ledger')})
    await world.start_hosts('zone-a')
    host = world.hosts[0]
    prepared = {}

    async def session():
        return await world.client(host, 'filings').open()

    async def prepare(client, name, kind, shape):
        answer = await client.ask(f'PREPARE {name} {kind} {shape}')
        if answer.is_done:
            prepared[client, name] = shape

    # Two clients that know nothing of each other; the first one's shapes have
    # no blanks. The other one's have some, or with TROUBLE=0 none.
    first, other = await session(), await session()
    await prepare(first, 's1', 'READ', 'q2c')
    await prepare(first, 's2', 'WRITE', 'w7e')
    shapes = ('q2c READ k9', 'w7e WRITE k9', 'all orders of an owner')
    if not w.TROUBLE:
        shapes = ('q3d', 'w8f', 'q4e')
    for shape, kind, name in zip(
        shapes, ('READ', 'WRITE', 'READ'), ('s1', 's2', 's3')
    ):
        await prepare(other, name, kind, shape)
    for number in range(10):
        await first.ask('EXEC s1 1a4')
        await first.ask(f'EXEC s2 1a4 first{number}')
        await other.ask('EXEC s1 2b5')
        await other.ask(f'EXEC s2 2b5 other{number}')
        await asyncio.sleep(0.02)
    await other.ask('EXEC s3 2b5')
    broken = []
    count = 0
    for run in group.runs:
        sent = world.sent.get(run['id'])
        if sent is None or not sent[1].startswith('EXEC'):
            continue
        count += 1
        client, text, _ = sent
        _, name, arguments = text.split(' ', 2)
        shape = prepared[client, name]
        what = f'{run["id"]} of {client.name}, {text!r} of shape {shape!r}'
        if run.get('nostmt'):
            broken.append(
                f'PINNED: {what}, whose preparing was acknowledged, is '
                'unknown at the member'
            )
        elif run['shape'] != shape:
            broken.append(f'PINNED: {what}, ran the shape {run["shape"]!r}')
        if not run.get('nostmt') and run['rest'] != arguments:
            broken.append(
                f'UNASKED: {what}, ran with changed text: {run["rest"]!r}'
            )
    if count < 10:
        raise w.CannotRun(f'only {count} prepared statements ran')
    mine = [b for b in broken if f'of {first.name},' in b]
    return broken and [
        f'{len(broken)} violations, {len(mine)} of them at the client '
        'whose shapes have no blanks'
    ] + mine[:3] + broken[:6]


w.main(script, Path(__file__).with_name('record.txt'))

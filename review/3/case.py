"""A former primary is promoted with commits that its successor never had.

Its log ends in an older term than that of the present primary, but its
position is the highest among the members that answer.
"""

import asyncio
import sys
import time
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1]))

import world as w


async def script(world):
    group = world.service('ledger')
    first = group.add('i-first', 'zone-a', is_primary=True)
    second = group.add('i-second', 'zone-b')
    third = group.add('i-third', 'zone-c')
    for member in group.members.values():
        await member.start()
    world.configure({'filings': ('primary', 'ledger')})
    await world.start_hosts('zone-a', 'zone-b', 'zone-c')
    stopping = asyncio.Event()
    commits = []
    tasks = [
        asyncio.create_task(_work(world, host, stopping, commits, group))
        for host in world.hosts
    ]
    await asyncio.sleep(3)
    if w.TROUBLE:
        # The replicas receive nothing for a while, and the primary crashes
        # meanwhile (replica_lag, "deaf crash"): 7 s, and 6.5 s down.
        second.is_deaf = third.is_deaf = True
        world.record.line('trouble', 'the replicas receive nothing')
    await asyncio.sleep(1.5)
    if w.TROUBLE:
        first.crash()
    await asyncio.sleep(4.5)
    present = next(m for m in group.members.values() if m.is_primary)
    if w.TROUBLE:
        # The primary crashes (srv_crash, "primary") and stays down; shortly
        # after, the first one is back with its log, as a replica.
        present.crash()
        await asyncio.sleep(1.0)
        second.is_deaf = third.is_deaf = False
        world.record.line('trouble', 'the replicas receive again')
        await asyncio.sleep(1.0)
        await first.start()
        world.record.line(
            'trouble', f'i-first is back, with its log to {first.position()}'
        )
    await asyncio.sleep(5)
    stopping.set()
    await asyncio.gather(*tasks)
    leader = max(
        (m for m in group.members.values() if m.is_primary),
        key=lambda m: m.term,
        default=None,
    )
    if leader is None or len(commits) < 50:
        raise w.CannotRun(f'{len(commits)} commits, leader {leader}')
    world.record.line('script', f'{leader.name} leads at the end')
    # Commits that no promotion has rolled back: those of the final log.
    kept = {id(e) for e in leader.log}
    reads = [
        r
        for r in group.runs
        if r['verb'] == 'READ'
        and r['id'] in world.sent
        and r['outcome'].startswith('DONE')
    ]
    broken = []
    for run in reads:
        sent_at = world.sent[run['id']][2]
        held = {id(e) for e in run['entries']}
        lacking = [
            e
            for at, e in commits
            if at < sent_at and id(e) in kept and id(e) not in held
        ]
        if lacking:
            e = lacking[-1]
            broken.append(
                f'STALE: {run["id"]} ran at {run["member"].name}, whose log '
                f'stood at {run["position"]} and lacked '
                f'{e["term"]}.{e["number"]}, which was acknowledged before '
                'and is in the final log'
            )
    lost = [e for at, e in commits if id(e) not in kept]
    return broken and [
        f'{len(broken)} of {len(reads)} reads were stale; '
        f'{len(lost)} acknowledged commits are not in the final log'
    ] + broken[:5]


async def _work(world, host, stopping, commits, group):
    client = await world.client(host, 'filings').open()
    number = 0
    while not stopping.is_set():
        number += 1
        if number % 2:
            answer = await client.ask(
                f'WRITE {client.name} {client.name}.{number}'
            )
            if answer.is_done:
                data = f'{client.name}.{number}'
                entry = next(
                    e
                    for m in group.members.values()
                    for e in reversed(m.log)
                    if e['writes'][0][1] == data
                )
                commits.append((answer.at, entry))
        else:
            answer = await client.ask(f'READ {client.name}')
        if not answer.ready:
            client = await world.client(host, 'filings').open()
        await asyncio.sleep(0.03)


w.main(script, Path(__file__).with_name('record.txt'))

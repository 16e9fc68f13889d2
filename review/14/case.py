"""A key is taken away while its holder is inside a transaction."""

from gevent import monkey

monkey.patch_all()

from pathlib import Path
import sys
import time

import gevent

from lab_3 import CannotRun
from lab_3 import Lab
from lab_3 import make_configuration
from lab_3 import run_case

CONFIG_APPLY_S = 5.0
PAUSE_S = 2.0
"""Pause between two statements; shorter than `tx_idle_ms`, 3 s."""

STATEMENTS = 7
"""Statements of the transaction, BEGIN and COMMIT not counted."""

ROUTES = {'claims': 'session'}
BOUNDS = {
    'bounds__config_apply_ms': '5000',
    'bounds__stable_ms': '5000',
    'bounds__revoke_ms': '5000',
    'bounds__strict_revoke': 'false',
}


def tenants(keys):
    return [
        {'name': 'kept', 'api_keys': ['kept-1'], 'priority': 1},
        {'name': 'left', 'api_keys': keys, 'priority': 1},
    ]


def play(record, has_trouble):
    lab = Lab(record)
    try:
        return _play(lab, record, has_trouble)
    finally:
        lab.stop()


def _play(lab, record, has_trouble):
    lab.store.put(
        'op/config',
        make_configuration(7, ROUTES, tenants=tenants(['old-1', 'new-1'])),
    )
    lab.add_hosts(3, **BOUNDS)
    lab.await_ready()
    gevent.sleep(5.5)
    host = lab.hosts[1]
    caller = host.connect('claims', 'old-1')
    other = host.connect('claims', 'old-1')
    if not caller.greeting.startswith('READY'):
        raise CannotRun(caller.greeting)
    sent = {}

    def ask(session, text):
        asked_at = time.monotonic()
        request = session.send(text)
        sent[request] = asked_at, text
        answer = session.read_answer()
        record.write(
            f'{request} {text!r} sent {asked_at - record.began_at:.3f}: '
            f'{answer.code} {answer.rows} state {answer.state}'
        )
        return answer

    ask(other, 'READ 1a4')
    ask(caller, 'BEGIN')
    ask(caller, 'WRITE 1a4 before')
    gevent.sleep(0.3)
    keys = ['new-1'] if has_trouble else ['old-1', 'new-1']
    lab.store.put(
        'op/config', make_configuration(12, ROUTES, tenants=tenants(keys))
    )
    acked_at = time.monotonic()
    record.write(f'version 12 acknowledged; keys of the tenant: {keys}')
    for number in range(STATEMENTS):
        gevent.sleep(PAUSE_S)
        ask(caller, f'WRITE 1a{number} later-{number}')
        ask(other, 'READ 1a4')
    gevent.sleep(0.5)
    ask(caller, 'COMMIT')
    gevent.sleep(0.5)
    breaks = []
    for name, server in lab.group.servers.items():
        for run in server.runs:
            if run.request_id not in sent:
                continue
            asked_at, text = sent[run.request_id]
            late_s = asked_at - acked_at
            record.write(
                f'{name} ran {run.request_id} {run.text!r} of tenant '
                f'{run.customer}, sent {late_s:.3f} s after the ack'
            )
            if has_trouble and late_s > CONFIG_APPLY_S:
                breaks.append(
                    f'CONFIG: {run.request_id} ({text}) was sent {late_s:.3f} s '
                    f'after the ack of the version without the key of its '
                    f'client, and {name} has run it'
                )
    return breaks


sys.exit(run_case(play, Path(__file__).with_name('record.txt')))

"""A member fails part of its requests, among them SET, RESET and PREPARE.

The clients' SET and PREPARE were acknowledged by the entry hosts. The script
compares, for every statement of a client that the member runs, the values of
the member's connection with those that were acknowledged to the client.
"""

from __future__ import annotations

from pathlib import Path
import random
import sys

import gevent

from lab_2 import Client
from lab_2 import is_troubled
from lab_2 import Lab
from lab_2 import run_case
from trefoilpulley_emulator import member_server

RECORD_PATH = Path(__file__).with_name('record.txt')
GREY_MEMBER = 'ledger-0'
GREY_SHARE = 0.4
GREY_S = 6.5
CLIENTS = 36

expected: dict[str, dict[str, str]] = {}
"""Values that were acknowledged to its client, by request."""

prepared: dict[str, str] = {}
"""Shape that was acknowledged to its client, by request that executes one."""

breaks: list[str] = []
runs = [0]
failed = [0]


class Grey:
    """Whether the member fails requests now."""

    is_on = False
    rng = random.Random(8)


class GreyConnection(member_server._MemberConnection):
    """Connection of a member that may fail part of its requests."""

    def run(self) -> None:
        self._shapes: dict[str, str] = {}
        super().run()

    def _answer(self, text: str) -> list[str]:
        server = self._server
        request_id = server.received_requests[-1][0]
        verb, _, rest = text.partition(' ')
        can_fail = verb in ('SET', 'RESET', 'PREPARE', 'READ', 'WRITE', 'EXEC')
        is_failed = (
            Grey.is_on
            and server.state.member == GREY_MEMBER
            and can_fail
            and Grey.rng.random() < GREY_SHARE
        )
        if is_failed:
            failed[0] += 1
            lab.record.add(
                f'{server.state.member} {request_id} {verb}: FAILED'
            )
            return [f'ERR FAILED {server.state.member}']
        if verb == 'PREPARE':
            name, _, shape = rest.partition(' ')
            self._shapes[name] = shape
        if request_id in expected:
            self._judge(request_id, verb, rest)
        return super()._answer(text)

    def _judge(self, request_id: str, verb: str, rest: str) -> None:
        runs[0] += 1
        member = self._server.state.member
        want, have = expected[request_id], self._session_values
        if verb == 'EXEC':
            shape = self._shapes.get(rest.partition(' ')[0])
            if shape != prepared[request_id]:
                note = f'{member} {request_id} EXEC of shape {shape!r}'
                breaks.append(note)
                lab.record.add(f'BROKEN {note}, not {prepared[request_id]!r}')
                return
        if want != have:
            note = f'{member} {request_id} runs {verb} with {have}'
            breaks.append(note)
            lab.record.add(f'BROKEN {note}, acknowledged {want}')


class Session:
    """A client: sets values, prepares a statement, then works."""

    def __init__(self, number: int) -> None:
        self._number = number
        self.is_stopping = False
        self.answers: dict[str, int] = {}

    def run(self) -> None:
        """Work in one session after the other until told to stop."""
        while not self.is_stopping:
            try:
                self._work()
            except (OSError, ConnectionError):
                gevent.sleep(0.05)

    def _work(self) -> None:
        rng = random.Random(self._number)
        host = lab.hosts[self._number % len(lab.hosts)]
        client = Client(host.front, 'filings', 3.0)
        values = {}
        names = ['clan'] if self._number % 2 else ['clan', f'v{self._number}']
        for name in names:
            value = f'c{self._number}'
            outcome, _, _ = client.ask(f'SET {name} {value}')
            if not outcome.startswith('DONE'):
                raise ConnectionError(outcome)
            values[name] = value
        shape = f'q{self._number}'
        outcome, _, _ = client.ask(f'PREPARE s1 WRITE {shape}')
        if not outcome.startswith('DONE'):
            raise ConnectionError(outcome)
        for number in range(8):
            if self.is_stopping:
                break
            gevent.sleep(rng.uniform(0.1, 0.3))
            data = f'{self._number}.{number}'
            text = rng.choice(
                (f'READ i{number}', f'WRITE i{number} {data}')
                + (f'EXEC s1 i{number} {data}',)
            )
            request_id = client.next_id()
            expected[request_id] = dict(values)
            prepared[request_id] = f'WRITE {shape}'
            outcome, _, ready = client.ask(text)
            code = ' '.join(
                outcome.split(' ')[: 1 + outcome.startswith('ERR')]
            )
            self.answers[code] = self.answers.get(code, 0) + 1
            lab.record.add(f'client {request_id} {text}: {outcome}')
        client.close()


member_server._MemberConnection = GreyConnection
lab = Lab(RECORD_PATH)


def main() -> int:
    return run_case(lab, play)


def play(lab: Lab) -> int:
    record = lab.record
    lab.start()
    gevent.sleep(3)
    sessions = [Session(n) for n in range(CLIENTS)]
    greenlets = [gevent.spawn(s.run) for s in sessions]
    gevent.sleep(5)
    record.say(f'{runs[0]} statements run, {len(breaks)} breaks so far')
    if is_troubled():
        record.say(
            f'{GREY_MEMBER} fails {GREY_SHARE} of its requests for {GREY_S} s'
        )
        Grey.is_on = True
    gevent.sleep(GREY_S)
    Grey.is_on = False
    record.say('no requests are failed any more')
    gevent.sleep(2)
    for session in sessions:
        session.is_stopping = True
    gevent.joinall(greenlets, timeout=5)
    answers: dict[str, int] = {}
    for session in sessions:
        for code, count in session.answers.items():
            answers[code] = answers.get(code, 0) + count
    record.say(f'answers to the clients: {answers}')
    record.say(f'{runs[0]} statements run, {failed[0]} requests failed')
    if runs[0] < 100:
        return 2
    if breaks:
        record.say(f'PINNED broken: {len(breaks)} statements, as {breaks[0]}')
        return 1
    record.say('PINNED held')
    return 0


if __name__ == '__main__':
    sys.exit(main())

"""A client with its fake hosts."""

from __future__ import annotations

import random
from typing import Any

from features.fakes.fake_entry import FakeDatabase
from features.fakes.fake_entry import FakeDialer
from features.fakes.fake_entry import FakeHost
from features.fakes.fake_entry import VirtualTimer
from trefoilpulley_client import connect
from trefoilpulley_client import Error

SEED = 7
"""Seed of request ids, pauses and the order of hosts."""


class Client:
    """A client with its fake hosts."""

    def __init__(self, hosts: int) -> None:
        self.database = FakeDatabase()
        self.hosts = {
            port: FakeHost(f'host-{port}', self.database)
            for port in range(1, hosts + 1)
        }
        self.timer = VirtualTimer()
        self.error: Error | None = None
        self.answered = False
        self.connection = self.connect()
        self.cursor = self.connection.cursor()
        self.first = self.host_named(self.connection.host)

    def connect(self, **options: Any) -> Any:
        """Open a connection to the fake hosts."""
        return connect(
            options.pop('hosts', [f'10.0.0.1:{p}' for p in self.hosts]),
            'tenant',
            'secret',
            'ledger/0',
            'filing',
            dialer=FakeDialer(self.hosts),
            timer=self.timer,
            rng=random.Random(SEED),
            **options,
        )

    def host_named(self, name: str) -> FakeHost:
        """Return a host."""
        return next(h for h in self.hosts.values() if h.name == name)

    def others(self) -> list[FakeHost]:
        """Return the hosts but for the first one in use."""
        return [h for h in self.hosts.values() if h is not self.first]

    def sent(self, kind: str) -> list[Any]:
        """Return the messages of a type that hosts have taken."""
        return [
            m
            for h in self.hosts.values()
            for m in h.received
            if type(m).__name__ == kind
        ]

    def attempt(self, call: Any, *args: Any, **options: Any) -> None:
        """Call and keep the error."""
        self.error = None
        self.answered = False
        try:
            call(*args, **options)
            self.answered = True
        except Error as exc:
            self.error = exc

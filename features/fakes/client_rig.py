"""A client connected to simulated entry hosts."""

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
"""Seed of the request ids, the pauses and the order of hosts."""


class ClientRig:
    """Client, its simulated entry hosts, and the result of its last call."""

    def __init__(self, hosts: int) -> None:
        self.database = FakeDatabase()
        self.hosts = {
            port: FakeHost(f'host-{port}', self.database)
            for port in range(1, hosts + 1)
        }
        self.timer = VirtualTimer()
        self.error: Error | None = None
        self.is_answered = False
        self.connection = self.connect()
        self.cursor = self.connection.cursor()
        self.first_host = self.find_host(self.connection.host)

    def connect(self, **options: Any) -> Any:
        """Open a connection to the simulated hosts."""
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

    def find_host(self, name: str) -> FakeHost:
        """Return the host with a name."""
        return next(h for h in self.hosts.values() if h.name == name)

    def other_hosts(self) -> list[FakeHost]:
        """Return all hosts except the one that was connected first."""
        return [h for h in self.hosts.values() if h is not self.first_host]

    def received_messages(self, kind: str) -> list[Any]:
        """Return the messages of a type that the hosts have received."""
        return [
            m
            for h in self.hosts.values()
            for m in h.received
            if type(m).__name__ == kind
        ]

    def attempt(self, call: Any, *args: Any, **options: Any) -> None:
        """Make a call and record its error or its success."""
        self.error = None
        self.is_answered = False
        try:
            call(*args, **options)
            self.is_answered = True
        except Error as exc:
            self.error = exc

"""Registration of this host in the platform's service, bound to a lease."""

from __future__ import annotations

import json
import math
from typing import Any
from typing import TYPE_CHECKING

import gevent
from gevent.event import Event
from returns.result import Failure as Failed
from returns.result import Success

from trefoilpulley_core.catalog import HostEntry
from trefoilpulley_core.entry_fields import DECODE_ERRORS
from trefoilpulley_core.entry_fields import make_endpoint
from trefoilpulley_core.entry_fields import read_text
from trefoilpulley_core.failure import MalformedMessage
from trefoilpulley_core.keys import HOST_PREFIX
from trefoilpulley_core.platform import EraChanged
from trefoilpulley_core.platform import LeaseExpired
from trefoilpulley_core.platform import RevisionConflict
from trefoilpulley_node.service import Service

if TYPE_CHECKING:
    from collections.abc import Mapping
    import random

    from returns.result import Result

    from trefoilpulley_core.clock import Clock
    from trefoilpulley_core.failure import Failure
    from trefoilpulley_core.platform import KeyValue
    from trefoilpulley_core.platform import Lease
    from trefoilpulley_core.platform import Platform

LEASE_TTL_S = 30
"""Time to live of a host's lease, in seconds.

The probes of the membership detect a dead host earlier.
"""

RENEW_INTERVAL_S = 10.0
"""Time between two renewals of the lease, in seconds."""

RETRY_INTERVAL_S = 1.0
"""Time before a failed call is retried, in seconds."""


class HostRegistration(Service):
    """Keeps this host registered, so that other hosts can find it.

    Parameters
    ----------
    host_entry : HostEntry
        Entry of this host.
    platform : Platform
        The platform's service.
    clock : Clock
        Monotonic time.
    rng : random.Random
        Spreads the attempts of the hosts over time.
    """

    def __init__(
        self,
        host_entry: HostEntry,
        platform: Platform,
        clock: Clock,
        rng: random.Random,
    ) -> None:
        self._clock = clock
        self._rng = rng
        self._renewed_at = clock.now()
        self._host_entry = host_entry
        self._platform = platform
        self._granted: Lease | None = None
        self._lease: Lease | None = None
        self._revision = 0
        self._era_began = Event()
        self._first_lease: Lease | None = None
        self._greenlet: gevent.Greenlet | None = None

    @property
    def first_lease(self) -> Lease | None:
        """First lease, unique among the running hosts by number and era.

        ``None`` before it is granted.
        """
        return self._first_lease

    @property
    def lease_age_s(self) -> float:
        """Time since the lease was granted or renewed, in seconds."""
        return self._clock.now() - self._renewed_at

    def start(self) -> None:
        """Start to register the host and to renew its lease."""
        self._greenlet = gevent.spawn(self._run)

    def begin_era(self, era: int) -> None:
        """Register again if the lease is of an older era.

        The service may have given the number of that lease to another host.
        """
        if self._granted is not None and self._granted.era < era:
            self._granted = self._lease = None
            self._era_began.set()

    def stop(self) -> None:
        """Remove the entry, unless it is no longer the one of this host.

        The lease lapses. Its number may belong to another host by now, if the
        service has come back from an older copy.
        """
        if self._greenlet is not None:
            self._greenlet.kill(block=False)
        if self._lease is not None:
            with gevent.Timeout(RETRY_INTERVAL_S / 2, False):
                self._platform.delete(
                    self._key, self._revision, self._lease.era
                )

    @property
    def _key(self) -> str:
        return f'{HOST_PREFIX}{self._host_entry.name}'

    def _run(self) -> None:
        while True:
            self._era_began.clear()
            lease = self._lease
            is_registered = self._renew(lease) if lease else self._register()
            retry_s = RETRY_INTERVAL_S * self._rng.uniform(0.5, 1.5)
            self._era_began.wait(
                RENEW_INTERVAL_S if is_registered else retry_s
            )

    def _register(self) -> bool:
        """Write the entry under a lease that is kept between attempts."""
        if self._granted is None:
            self._granted = self._platform.grant_lease(LEASE_TTL_S).value_or(
                None
            )
        lease = self._granted
        if lease is None:
            return False
        self._first_lease = self._first_lease or lease
        written = self._put(lease)
        if not isinstance(written, Success):
            if isinstance(written.failure(), LeaseExpired | EraChanged):
                self._granted = None
            return False
        self._lease = lease
        self._revision = written.unwrap()
        self._renewed_at = self._clock.now()
        return True

    def _put(self, lease: Lease) -> Result[int, Failure]:
        """Write the entry over the one that this host knows or finds.

        Only this host writes its key, so that a known revision is right in a
        later era as well, unless the service has lost that write.
        """
        result = self._swap(self._revision, lease)
        if isinstance(result, Success):
            return result
        if not isinstance(result.failure(), RevisionConflict):
            return result
        current = self._platform.get(self._key)
        if not isinstance(current, Success):
            return current
        entry = current.unwrap()
        if entry is not None and entry.era != lease.era:
            return Failed(EraChanged(self._key))
        return self._swap(entry.mod_revision if entry else 0, lease)

    def _swap(self, revision: int, lease: Lease) -> Result[int, Failure]:
        return self._platform.compare_and_swap(
            self._key,
            revision,
            write_host(self._host_entry),
            lease.lease_id,
            lease.era,
        )

    def _renew(self, lease: Lease) -> bool:
        result = self._platform.keep_alive(lease.lease_id, lease.era)
        if isinstance(result, Success):
            self._renewed_at = self._clock.now()
            return True
        if isinstance(result.failure(), LeaseExpired | EraChanged):
            self._granted = self._lease = None
            return self._register()
        return False


def write_host(entry: HostEntry) -> bytes:
    """Return the value of a host's key."""
    fields = {
        'region': entry.region,
        'zone': entry.zone,
        'address': entry.peer_endpoint.address,
        'port': entry.peer_endpoint.port,
        'caller_port': entry.endpoint.port,
        'capacity': entry.capacity,
    }
    return json.dumps(fields).encode()


def read_host(entry: KeyValue) -> Result[HostEntry, Failure]:
    """Decode the value of a host's key.

    Entries of older versions have no capacity, and older versions ignore it.
    """
    try:
        fields = json.loads(entry.value)
        address = fields['address']
        return Success(
            HostEntry(
                entry.key.removeprefix(HOST_PREFIX),
                read_text(fields, 'region'),
                read_text(fields, 'zone'),
                make_endpoint(address, fields['caller_port']),
                make_endpoint(address, fields['port']),
                capacity=_read_capacity(fields),
            )
        )
    except DECODE_ERRORS as exc:
        return Failed(MalformedMessage(f'{entry.key}: {exc!r}'))


def _read_capacity(fields: Mapping[str, Any]) -> float:
    capacity = float(fields.get('capacity', 1.0))
    if not (capacity > 0 and math.isfinite(capacity)):
        raise ValueError(f'capacity {capacity}')
    return capacity

"""Order in which a host tries the holders of the connections to a member.

Load pattern: a network partition cuts a primary off from 65 % of the hosts for
7 s, five of its eight holders among them. A host that gives up after three
holders refuses most of the requests whose first three holders are cut off,
and then takes the primary for lost, although three holders would serve.

A holder that reports that the member does not answer has sent nothing, and
says so at once. Such a report costs one message, so that all holders may be
asked. The holder is ranked behind the others for a second, which covers the
interval of its own checks. A refusal for another reason, such as load, counts
as an attempt: asking on would add to the load of all holders.
"""

from __future__ import annotations

from enum import Enum
from enum import StrEnum
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Sequence

MAX_HOLDER_ATTEMPTS = 3
"""Holders that a request is sent to before it fails.

Reports that the member is unreachable do not count. A holder to which no
channel can be opened does: each costs up to 0.15 s, and the time of a read is
better spent at another member.
"""

HOLDER_BACKOFF_S = 0.8
"""Time for which a holder that did not answer is tried last, in seconds.

Membership needs about the same time to detect a dead host.
"""

MISSED_BACKOFF_S = 1.0
"""Time for which a holder cut off from a member is ranked back, in seconds.

A holder checks every 0.1 to 0.4 s whether the member answers again.
"""

MIN_REPORTS = 2
"""Holders that must report a member as unreachable, if it has as many.

The report of one holder may be due to a fault of this holder alone.
"""


class Refusal(Enum):
    """What a holder's refusal says; the holder has sent nothing."""

    MEMBER_MISSED = 'member-missed'
    """The member does not answer the holder."""

    OTHER = 'other'
    """The holder has no connection free, or is stopping."""

    UNREACHED = 'unreached'
    """The holder could not be asked."""


class HolderFailure(StrEnum):
    """Why a holder is ranked behind the others for a time."""

    SILENT = 'silent'
    """The holder did not answer."""

    CUT_OFF = 'cut-off'
    """The holder does not reach the member."""


class HolderOrder:
    """Holders of one member that this host should try last for a time."""

    def __init__(self) -> None:
        self._silent_until: dict[str, float] = {}
        self._missed_until: dict[str, float] = {}

    def sort(self, ranked: Sequence[str], now: float) -> tuple[str, ...]:
        """Return the holders in the order to try.

        Holders that do not reach the member follow those without a failure.
        Holders that did not answer come last: a request sent to one of them
        may be lost, while the others refuse it before anything is sent.
        Holders of the same kind keep their rank.
        """
        self._silent_until = _keep_later(self._silent_until, now)
        self._missed_until = _keep_later(self._missed_until, now)
        if not self._silent_until and not self._missed_until:
            return tuple(ranked)
        return tuple(
            sorted(
                ranked,
                key=lambda h: (
                    h in self._silent_until,
                    h in self._missed_until,
                ),
            )
        )

    def find_failure(self, holder: str, now: float) -> HolderFailure | None:
        """Return why a holder is ranked back, or ``None`` if it is not."""
        if now < self._silent_until.get(holder, now):
            return HolderFailure.SILENT
        if now < self._missed_until.get(holder, now):
            return HolderFailure.CUT_OFF
        return None

    def on_silent(self, holder: str, now: float) -> bool:
        """Record that a holder did not answer; return whether this is new."""
        is_new = now >= self._silent_until.get(holder, now)
        self._silent_until[holder] = now + HOLDER_BACKOFF_S
        return is_new

    def on_missed(self, holder: str, now: float) -> bool:
        """Record a holder cut off from the member; return whether new."""
        is_new = now >= self._missed_until.get(holder, now)
        self._missed_until[holder] = now + MISSED_BACKOFF_S
        return is_new

    def on_served(self, holder: str) -> None:
        """Record that the member answered a holder."""
        self._missed_until.pop(holder, None)


class HolderSearch:
    """Search of one request for a holder that serves it.

    Each holder is asked once at most.

    Parameters
    ----------
    holders : Sequence[str]
        Holders to try, in this order.
    is_single : bool
        Whether the member has a single holder.
    refused_here : Refusal, optional
        What this host's refusal said, if it is a holder and was asked before.
    """

    def __init__(
        self,
        holders: Sequence[str],
        is_single: bool,
        refused_here: Refusal | None = None,
    ) -> None:
        self._remaining = list(holders)
        self._min_reports = 1 if is_single else MIN_REPORTS
        self._attempts = 0
        self._asked = int(refused_here is not None)
        self._reports = int(refused_here is Refusal.MEMBER_MISSED)

    def next_holder(self) -> str | None:
        """Return the next holder, or ``None`` if none should be asked."""
        if not self._remaining or self._attempts >= MAX_HOLDER_ATTEMPTS:
            return None
        return self._remaining.pop(0)

    def on_refused(self, refusal: Refusal) -> None:
        """Record that the holder asked last has not sent the request."""
        is_report = refusal is Refusal.MEMBER_MISSED
        self._attempts += not is_report
        self._asked += refusal is not Refusal.UNREACHED
        self._reports += is_report

    @property
    def is_member_unreachable(self) -> bool:
        """Whether every holder asked, and two at least, miss the member.

        A search that has run out of time says nothing about the holders that
        are left.
        """
        if self._remaining or self._asked != self._reports:
            return False
        return self._reports >= self._min_reports


def _keep_later(until: dict[str, float], now: float) -> dict[str, float]:
    return {h: t for h, t in until.items() if now < t}

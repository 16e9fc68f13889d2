"""Steps on the stand-in links."""

from __future__ import annotations

import random
from typing import Any

from behave import given
from behave import then
from behave import when
import gevent

from trefoilpulley_standins.links.network import Network
from trefoilpulley_standins.links.quality import DeliverySchedule
from trefoilpulley_standins.links.quality import Quality
from trefoilpulley_standins.links.quality import RETRANSMISSION_DELAY_MS
from trefoilpulley_standins.links.quality import ZonePair
from trefoilpulley_standins.links.settings import LinkOrder

_SEED = 7
_ROUNDING_S = 1e-9


class StandinsLinksSteps:
    """Steps on delays and cuts."""

    @staticmethod
    @given(
        'a standins link of {delay:g} ms with jitter {jitter:g} ms and '
        'loss {loss:g}'
    )
    def make_link(
        context: Any, delay: float, jitter: float, loss: float
    ) -> None:
        """Describe a direction."""
        pair = ZonePair('north', 'south')
        context.quality = Quality(pair, delay, jitter, loss)

    @staticmethod
    @when('{count:d} standins packets leave {gap:g} ms apart')
    def send(context: Any, count: int, gap: float) -> None:
        """Ask for the arrivals."""
        context.sent = [n * gap / 1000 for n in range(count)]
        context.arrivals = _arrive(context)

    @staticmethod
    @then('they arrive in order, none sooner than {delay:g} ms')
    def check_order(context: Any, delay: float) -> None:
        """Compare arrivals with each other and with the delay."""
        assert context.arrivals == sorted(context.arrivals)
        taken = [
            a - s for a, s in zip(context.arrivals, context.sent, strict=True)
        ]
        assert min(taken) >= delay / 1000 - _ROUNDING_S

    @staticmethod
    @then('some standins packet takes at least {delay:g} ms')
    def check_loss(context: Any, delay: float) -> None:
        """Expect a retransmission."""
        assert delay == RETRANSMISSION_DELAY_MS
        assert any(
            a - s >= delay / 1000
            for a, s in zip(context.arrivals, context.sent, strict=True)
        )

    @staticmethod
    @then('another standins link with the same seed gives the same arrivals')
    def check_seed(context: Any) -> None:
        """Ask once more."""
        assert _arrive(context) == context.arrivals

    @staticmethod
    @given('standins zones north and south')
    def make_network(context: Any) -> None:
        """Make a network without delays."""
        context.network = Network(())

    @staticmethod
    @when('the standins direction {source} to {target} is cut')
    def cut(context: Any, source: str, target: str) -> None:
        """Cut one direction."""
        context.network.apply_order(
            LinkOrder(cuts=(ZonePair(source, target),))
        )

    @staticmethod
    @when('the standins cut is healed')
    def heal(context: Any) -> None:
        """End every cut."""
        context.network.apply_order(LinkOrder(cuts=()))

    @staticmethod
    @then('standins data from {source} to {target} waits')
    def check_waits(context: Any, source: str, target: str) -> None:
        """Expect that a sender is still held."""
        pair = ZonePair(source, target)
        sender = gevent.spawn(context.network.wait_until_healed, pair)
        context.cleanups.append(sender.kill)
        gevent.idle()
        assert not sender.ready()

    @staticmethod
    @then('standins data from {source} to {target} passes')
    def check_passes(context: Any, source: str, target: str) -> None:
        """Expect that a sender goes on at once."""
        pair = ZonePair(source, target)
        sender = gevent.spawn(context.network.wait_until_healed, pair)
        gevent.idle()
        assert sender.ready()


def _arrive(context: Any) -> list[float]:
    line = DeliverySchedule(random.Random(_SEED))
    return [line.arrival_at(context.quality, at) for at in context.sent]

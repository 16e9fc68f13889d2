"""Steps for the simulated links."""

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
    """Steps for delays and cuts."""

    @staticmethod
    @given(
        'a simulated link of {delay:g} ms with jitter {jitter:g} ms and '
        'loss {loss:g}'
    )
    def make_link(
        context: Any, delay: float, jitter: float, loss: float
    ) -> None:
        """Set the quality of one direction."""
        pair = ZonePair('north', 'south')
        context.quality = Quality(pair, delay, jitter, loss)

    @staticmethod
    @when(
        '{count:d} packets are sent over the simulated link {gap:g} ms apart'
    )
    def send_packets(context: Any, count: int, gap: float) -> None:
        """Calculate the arrival times of the packets."""
        context.sent = [n * gap / 1000 for n in range(count)]
        context.arrivals = _arrival_times(context)

    @staticmethod
    @then('the packets arrive in order, none sooner than {delay:g} ms')
    def check_order(context: Any, delay: float) -> None:
        """Check the order of the arrivals and the minimum delay."""
        assert context.arrivals == sorted(context.arrivals)
        delays_s = [
            a - s for a, s in zip(context.arrivals, context.sent, strict=True)
        ]
        assert min(delays_s) >= delay / 1000 - _ROUNDING_S

    @staticmethod
    @then('some packet takes at least {delay:g} ms')
    def check_loss(context: Any, delay: float) -> None:
        """Check that a packet was retransmitted."""
        assert delay == RETRANSMISSION_DELAY_MS
        assert any(
            a - s >= delay / 1000
            for a, s in zip(context.arrivals, context.sent, strict=True)
        )

    @staticmethod
    @then('another simulated link with the same seed gives the same arrivals')
    def check_seed(context: Any) -> None:
        """Compare the arrival times of a second link."""
        assert _arrival_times(context) == context.arrivals

    @staticmethod
    @given('simulated zones north and south')
    def make_network(context: Any) -> None:
        """Build a network without delays."""
        context.network = Network(())

    @staticmethod
    @when('the simulated link from {source} to {target} is cut')
    def cut_link(context: Any, source: str, target: str) -> None:
        """Cut one direction."""
        context.network.apply_order(
            LinkOrder(cuts=(ZonePair(source, target),))
        )

    @staticmethod
    @when('the simulated cut is healed')
    def heal_cuts(context: Any) -> None:
        """End all cuts."""
        context.network.apply_order(LinkOrder(cuts=()))

    @staticmethod
    @then('simulated data from {source} to {target} waits')
    def check_waits(context: Any, source: str, target: str) -> None:
        """Check that a sender is blocked."""
        pair = ZonePair(source, target)
        sender = gevent.spawn(context.network.wait_until_healed, pair)
        context.cleanups.append(sender.kill)
        gevent.idle()
        assert not sender.ready()

    @staticmethod
    @then('simulated data from {source} to {target} passes')
    def check_passes(context: Any, source: str, target: str) -> None:
        """Check that a sender is not blocked."""
        pair = ZonePair(source, target)
        sender = gevent.spawn(context.network.wait_until_healed, pair)
        gevent.idle()
        assert sender.ready()


def _arrival_times(context: Any) -> list[float]:
    line = DeliverySchedule(random.Random(_SEED))
    return [line.arrival_at(context.quality, at) for at in context.sent]

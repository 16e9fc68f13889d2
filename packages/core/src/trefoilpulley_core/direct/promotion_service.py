"""Interface for promoting members through the platform's service."""

from __future__ import annotations

import abc
from dataclasses import dataclass
from typing import TYPE_CHECKING

from trefoilpulley_core.failure import NotRun

if TYPE_CHECKING:
    from returns.result import Result

    from trefoilpulley_core.failure import Failure


@dataclass(frozen=True, slots=True)
class PromotionRefused(NotRun):
    """The fencing token is too low, or the member is not running."""

    code = 'promotion-refused'


@dataclass(frozen=True, slots=True)
class ClaimOutdated(NotRun):
    """Another host has claimed a later change; nothing was ordered."""

    code = 'claim-outdated'


class PromotionService(abc.ABC):
    """Promotes members; a fencing token rejects outdated requests."""

    @abc.abstractmethod
    def promote(
        self, group: str, member: str, holder: str, token: int
    ) -> Result[None, Failure]:
        """Promote a member to lead the next term of its group.

        The member leads some hundred milliseconds later, with the log
        records that it has received by then. ``PromotionRefused``,
        ``PlatformDown`` or ``PlatformAnswerLost`` gives the reason of a
        failure. After ``PlatformAnswerLost``, the promotion may still take
        place unless the platform has seen a higher token before.

        Parameters
        ----------
        group : str
            Group that changes its primary.
        member : str
            Member to promote.
        holder : str
            Name of the host that requests the promotion.
        token : int
            Fencing token; a token lower than the highest one seen is
            refused.
        """

"""Interface to the platform's orders of promotion."""

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


class PromotionService(abc.ABC):
    """Orders a member to lead, guarded by a fencing token."""

    @abc.abstractmethod
    def promote(
        self, group: str, member: str, holder: str, token: int
    ) -> Result[None, Failure]:
        """Order a member to lead the next term of its group.

        The member leads some hundred milliseconds later with what it
        has received by then. ``PromotionRefused``, ``PlatformDown`` or
        ``PlatformAnswerLost`` says why not; after the last one the order
        may still be carried out, unless a higher token came before.

        Parameters
        ----------
        group : str
            Group that changes its primary.
        member : str
            Member that is to lead.
        holder : str
            Name of the host that acts.
        token : int
            Fencing token; a lower one than seen before is refused.
        """

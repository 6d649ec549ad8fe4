"""What follows each attempt to run a request: its end, or a retry."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING, TypeAlias

from currantstage.coordination.requests._outcomes import (
    Answer,
    Refusal,
    RefusalReason,
    RequestEnd,
    SendFailure,
    Uncertain,
)

if TYPE_CHECKING:
    from currantstage.coordination.store._retry_budget import RetryBudget
    from currantstage.state import Random, VmId

#: Attempts of one request, the first included.
MAX_TRIES = 3
#: Retries that each new request pays for.
RETRIES_PER_REQUEST = 0.2
#: Retries that can be saved up.
MAX_SAVED_RETRIES = 20.0
#: Mean pause before the first retry; each further one is twice as long.
FIRST_RETRY_PAUSE_S = 0.02
#: Advice to a caller whose request reached no backend server, in seconds.
UNREACHABLE_RETRY_AFTER_S = 1.0
_FIRST_SERVER_ERROR = 500


@dataclass(frozen=True, slots=True)
class Finish:
    """The request has ended."""

    end: RequestEnd


@dataclass(frozen=True, slots=True)
class Retry:
    """The request is tried again.

    Parameters
    ----------
    pause_s : float
    avoided : frozenset of VmId
        Workers that failed it, used only when no other is left.
    """

    pause_s: float
    avoided: frozenset[VmId]


Step: TypeAlias = Finish | Retry


class Attempts:
    """The attempts of one request.

    A request of which a byte may have reached a backend server is sent again only when
    it is idempotent, and from then on never ends as "not run".

    Parameters
    ----------
    is_idempotent : bool
    deadline_s : float
    budget : RetryBudget
    random : Random
    """

    def __init__(
        self,
        is_idempotent: bool,
        deadline_s: float,
        budget: RetryBudget,
        random: Random,
    ) -> None:
        self._is_idempotent = is_idempotent
        self._deadline_s = deadline_s
        self._budget = budget
        self._random = random
        self._may_have_run = False
        self._last_answer: Answer | None = None
        self._failed_on: list[VmId] = []

    @property
    def failed_on(self) -> tuple[VmId, ...]:
        """Workers on which an attempt failed, in order."""
        return tuple(self._failed_on)

    def after(self, vm: VmId, result: Answer | SendFailure, now_s: float) -> Step:
        """Return what follows an attempt on `vm`."""
        if isinstance(result, Answer) and not is_server_error(result):
            return Finish(result)
        self._failed_on.append(vm)
        if isinstance(result, Answer):
            self._last_answer = result
        if result is not SendFailure.NOT_SENT:
            self._may_have_run = True
        pause_s = FIRST_RETRY_PAUSE_S * 2 ** (len(self._failed_on) - 1)
        pause_s *= 0.5 + self._random.random()
        if self._may_retry(now_s + pause_s):
            return Retry(pause_s, frozenset(self._failed_on))
        return Finish(self.give_up(_UNREACHABLE))

    def give_up(self, refusal: Refusal) -> RequestEnd:
        """Return the end of a request that gets no further attempt.

        Parameters
        ----------
        refusal : Refusal
            Why the next attempt was not made.
        """
        if self._last_answer is not None:
            return self._last_answer
        if self._may_have_run:
            return Uncertain("the backend server gave no whole answer")
        return refusal

    def _may_retry(self, at_s: float) -> bool:
        is_safe = self._is_idempotent or not self._may_have_run
        if not is_safe or len(self._failed_on) >= MAX_TRIES:
            return False
        return at_s < self._deadline_s and self._budget.try_withdraw()


def is_server_error(answer: Answer) -> bool:
    """Return whether the backend server failed rather than refused the request."""
    return answer.status >= _FIRST_SERVER_ERROR


_UNREACHABLE = Refusal(RefusalReason.UNREACHABLE, UNREACHABLE_RETRY_AFTER_S)

"""Retry policy: decide after each attempt whether a request ends or is retried."""

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

#: Maximum attempts of one request, including the first.
MAX_ATTEMPTS = 3
#: Retry tokens that each new request adds to the retry budget.
RETRY_TOKENS_PER_REQUEST = 0.2
#: Capacity of the retry budget, in retries.
MAX_RETRY_TOKENS = 20.0
#: Mean backoff before the first retry, in seconds; it doubles with each retry.
INITIAL_BACKOFF_S = 0.02
#: Retry-after delay for a caller whose request reached no backend server, in seconds.
UNREACHABLE_RETRY_AFTER_S = 1.0
_FIRST_SERVER_ERROR = 500


@dataclass(frozen=True, slots=True)
class Finish:
    """The request has ended with `end`."""

    end: RequestEnd


@dataclass(frozen=True, slots=True)
class Retry:
    """The request is retried after a backoff.

    Parameters
    ----------
    backoff_s : float
    avoided : frozenset of VmId
        Workers on which an attempt failed, used only if no other worker is usable.
    """

    backoff_s: float
    avoided: frozenset[VmId]


Step: TypeAlias = Finish | Retry


class Attempts:
    """Tracks the attempts of one request.

    Once any byte may have reached a backend server, the request is retried only if it
    is idempotent, and its outcome is never reported as "not run".

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

    def next_step(self, vm: VmId, result: Answer | SendFailure, now_s: float) -> Step:
        """Return the step that follows an attempt on `vm`."""
        if isinstance(result, Answer) and not is_server_error(result):
            return Finish(result)
        self._failed_on.append(vm)
        if isinstance(result, Answer):
            self._last_answer = result
        if result is not SendFailure.NOT_SENT:
            self._may_have_run = True
        backoff_s = INITIAL_BACKOFF_S * 2 ** (len(self._failed_on) - 1)
        backoff_s *= 0.5 + self._random.random()
        if self._may_retry(now_s + backoff_s):
            return Retry(backoff_s, frozenset(self._failed_on))
        return Finish(self.give_up(_UNREACHABLE))

    def give_up(self, refusal: Refusal) -> RequestEnd:
        """Return the end of a request that is not attempted again.

        Parameters
        ----------
        refusal : Refusal
            Why there is no further attempt.
        """
        if self._last_answer is not None:
            return self._last_answer
        if self._may_have_run:
            return Uncertain("the backend server gave no whole answer")
        return refusal

    def _may_retry(self, at_s: float) -> bool:
        is_safe = self._is_idempotent or not self._may_have_run
        if not is_safe or len(self._failed_on) >= MAX_ATTEMPTS:
            return False
        return at_s < self._deadline_s and self._budget.try_withdraw()


def is_server_error(answer: Answer) -> bool:
    """Return whether `answer` reports a failure of the server, not of the request."""
    return answer.status >= _FIRST_SERVER_ERROR


_UNREACHABLE = Refusal(RefusalReason.UNREACHABLE, UNREACHABLE_RETRY_AFTER_S)

"""Access to the platform's services, with retries and reading back."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING, TypeVar

from currantstage.coordination._errors import StoreUnreachableError, WriteUncertainError
from currantstage.coordination.store._circuit_breaker import (
    MAX_RETRY_TOKENS,
    RETRY_TOKENS_PER_SUCCESS,
    CircuitBreaker,
    StoreService,
)
from currantstage.coordination.store._procedures import (
    ClockRead,
    DeleteObject,
    Done,
    GetObject,
    ListObjects,
    ListVms,
    ObjectFetched,
    ObjectsListed,
    Pause,
    PlatformCall,
    Procedure,
    PutObject,
    ReadClock,
    ReadRow,
    ReadUnixTime,
    RebootAnswered,
    RebootVm,
    RowRead,
    RowsScanned,
    ScanRows,
    StoreFailed,
    StoreReply,
    Transact,
    Transacted,
    VmsListed,
)
from currantstage.coordination.store._retry_budget import RetryBudget
from currantstage.state import (
    ABSENT,
    AttemptId,
    RowWrite,
    TransactionItem,
    TransactionOutcome,
)

if TYPE_CHECKING:
    from collections.abc import Sequence

    from currantstage.state import (
        ListedVm,
        ObjectName,
        Random,
        RebootStatus,
        RebootTicket,
        RowKey,
        StoredGeneration,
        VersionedRow,
        VmId,
    )

ReplyT = TypeVar("ReplyT")

#: Bits of a random attempt identifier, enough that collisions don't occur in practice.
ATTEMPT_ID_BITS = 96


@dataclass(frozen=True, slots=True)
class RetryPolicy:
    """How often calls to the platform are tried, and the delays in between.

    Parameters
    ----------
    max_tries : int
        Total number of tries, including the first.
    first_delay_s, max_delay_s : float
        First and largest bound of the exponential backoff, in seconds. Each delay
        is drawn between half of its bound and the bound itself.
    """

    max_tries: int = 4
    first_delay_s: float = 0.05
    max_delay_s: float = 1.0

    def delay_s(self, tries: int, random: Random) -> float:
        """Return the jittered delay after `tries` failed tries, in seconds."""
        bound_s = min(self.max_delay_s, self.first_delay_s * 2.0 ** (tries - 1))
        return bound_s * (0.5 + random.random() / 2)


class StoreAccess:
    """Provides the platform's services as procedures.

    Failed calls are retried within a retry budget. While a service keeps failing, a
    circuit breaker fails calls to it immediately.

    Parameters
    ----------
    random : Random
        Source of jitter and attempt identifiers.
    policy : RetryPolicy
    """

    def __init__(self, random: Random, policy: RetryPolicy) -> None:
        self._random = random
        self._policy = policy
        self._budget = RetryBudget(MAX_RETRY_TOKENS, RETRY_TOKENS_PER_SUCCESS)
        self._breakers = {service: CircuitBreaker() for service in StoreService}

    def new_attempt(self) -> AttemptId:
        """Return a unique identifier for one transaction."""
        return AttemptId(f"{self._random.getrandbits(ATTEMPT_ID_BITS):024x}")

    def read(self, key: RowKey) -> Procedure[VersionedRow | None]:
        """Return the row under `key`; raises `StoreUnreachableError`."""
        reply = yield from self._call_with_retries(ReadRow(key), RowRead)
        return reply.row

    def scan(self, prefix: RowKey) -> Procedure[tuple[VersionedRow, ...]]:
        """Return the rows under `prefix`; raises `StoreUnreachableError`."""
        reply = yield from self._call_with_retries(ScanRows(prefix), RowsScanned)
        return reply.rows

    def get_object(self, name: ObjectName) -> Procedure[StoredGeneration | None]:
        """Return the object under `name`; raises `StoreUnreachableError`."""
        reply = yield from self._call_with_retries(GetObject(name), ObjectFetched)
        return reply.content

    def put_object(
        self, name: ObjectName, content: StoredGeneration
    ) -> Procedure[None]:
        """Store an object; raises `StoreUnreachableError` if that may have failed."""
        yield from self._call_with_retries(PutObject(name, content), Done)

    def list_objects(self, prefix: str) -> Procedure[tuple[ObjectName, ...]]:
        """List the objects under `prefix`; raises `StoreUnreachableError`."""
        reply = yield from self._call_with_retries(ListObjects(prefix), ObjectsListed)
        return reply.names

    def delete_object(self, name: ObjectName) -> Procedure[None]:
        """Delete an object; raises `StoreUnreachableError` if that may have failed."""
        yield from self._call_with_retries(DeleteObject(name), Done)

    def list_vms(self) -> Procedure[tuple[ListedVm, ...]]:
        """Return the platform's VM list, which may lag.

        Raises `StoreUnreachableError`.
        """
        reply = yield from self._call_with_retries(ListVms(), VmsListed)
        return reply.vms

    def reboot(self, vm: VmId, ticket: RebootTicket) -> Procedure[RebootStatus]:
        """Reboot `vm` at most once for `ticket`; raises `StoreUnreachableError`."""
        reply = yield from self._call_with_retries(RebootVm(vm, ticket), RebootAnswered)
        return reply.status

    def unix_time_s(self) -> Procedure[float]:
        """Return the Unix time, in seconds; for records only, never for leases."""
        reply = yield ReadUnixTime()
        assert isinstance(reply, ClockRead)
        return reply.now_s

    def now_s(self) -> Procedure[float]:
        """Return the time on this process's monotonic clock, in seconds."""
        reply = yield ReadClock()
        assert isinstance(reply, ClockRead)
        return reply.now_s

    def transact(
        self, items: Sequence[TransactionItem]
    ) -> Procedure[TransactionOutcome]:
        """Apply all writes of `items` at most once, even if replies are lost.

        After a lost reply the first written row is read back: it carries the
        attempt's identifier if and only if the transaction was applied. A deletion
        can't be recognised this way, so the first write must not be a deletion.

        Raises
        ------
        StoreUnreachableError
            Nothing was written.
        WriteUncertainError
            The reply was lost, and reading back failed or doesn't show the write
            yet. The write may still take effect.
        """
        attempt = self.new_attempt()
        written = _first_write(items)
        is_uncertain = False
        for tries in range(1, self._policy.max_tries + 1):
            reply = yield from self._call_once(Transact(attempt, tuple(items)))
            if isinstance(reply, Transacted):
                if reply.outcome.is_applied or not is_uncertain:
                    return reply.outcome
                # An earlier try may have applied the writes and changed the versions.
                return (yield from self._read_back(attempt, written, reply.outcome))
            is_uncertain = is_uncertain or _may_have_applied(reply)
            if not (yield from self._may_retry(tries)):
                break
        if not is_uncertain:
            raise StoreUnreachableError(
                "no reply to the transaction; nothing was written"
            )
        return (yield from self._read_back(attempt, written, None))

    def _read_back(
        self,
        attempt: AttemptId,
        written: RowWrite,
        known_outcome: TransactionOutcome | None,
    ) -> Procedure[TransactionOutcome]:
        try:
            row = yield from self.read(written.key)
        except StoreUnreachableError as error:
            raise WriteUncertainError(
                f"outcome of attempt {attempt} unknown: read-back failed"
            ) from error
        if row is not None and row.attempt == attempt:
            return TransactionOutcome(is_applied=True)
        if known_outcome is not None:
            return known_outcome
        if written.expected_version == (ABSENT if row is None else row.version):
            raise WriteUncertainError(
                f"outcome of attempt {attempt} unknown: the write may still take effect"
            )
        return TransactionOutcome(is_applied=False, conflicting_key=written.key)

    def _call_with_retries(
        self, call: PlatformCall, expected: type[ReplyT]
    ) -> Procedure[ReplyT]:
        for tries in range(1, self._policy.max_tries + 1):
            reply = yield from self._call_once(call)
            if isinstance(reply, expected):
                return reply
            if not (yield from self._may_retry(tries)):
                break
        raise StoreUnreachableError(f"no reply to {type(call).__name__}")

    def _call_once(self, call: PlatformCall) -> Procedure[StoreReply]:
        """Make one call, or fail it immediately while the service's circuit is open."""
        breaker = self._breakers[_service_of(call)]
        if breaker.is_open and not breaker.try_probe((yield from self.now_s())):
            return StoreFailed(may_have_applied=False)
        reply = yield call
        if not isinstance(reply, StoreFailed):
            breaker.record_success()
            self._budget.deposit()
            return reply
        breaker.record_failure()
        if breaker.is_tripped:
            breaker.open((yield from self.now_s()))
        return reply

    def _may_retry(self, tries: int) -> Procedure[bool]:
        """Wait before the next try; return False if no further try is allowed."""
        if tries >= self._policy.max_tries or not self._budget.try_withdraw():
            return False
        yield Pause(self._policy.delay_s(tries, self._random))
        return True


def _first_write(items: Sequence[TransactionItem]) -> RowWrite:
    return next(item for item in items if isinstance(item, RowWrite))


def _service_of(call: PlatformCall) -> StoreService:
    if isinstance(call, ReadRow | ScanRows | Transact):
        return StoreService.TABLE
    return StoreService.DIRECTORY if isinstance(call, ListVms) else StoreService.OBJECTS


def _may_have_applied(reply: StoreReply) -> bool:
    return isinstance(reply, StoreFailed) and reply.may_have_applied

"""Access to the platform's service with retries and reading back."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING, TypeVar

from currantstage.coordination._errors import StoreAwayError, WriteUncertainError
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
from currantstage.coordination.store._store_health import (
    MAX_RETRY_TOKENS,
    TOKENS_PER_SUCCESS,
    CircuitBreaker,
    StoreService,
)
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

#: Bits of an attempt's random name; two tries never share one in practice.
ATTEMPT_ID_BITS = 96


@dataclass(frozen=True, slots=True)
class RetryPolicy:
    """How often and how far apart calls to the platform are repeated.

    Parameters
    ----------
    max_tries : int
        Tries in all, the first included.
    first_delay_s, max_delay_s : float
        Bounds of the exponential backoff, in seconds; each delay is drawn between
        half of its bound and the bound itself.
    """

    max_tries: int = 4
    first_delay_s: float = 0.05
    max_delay_s: float = 1.0

    def delay_s(self, tries: int, random: Random) -> float:
        """Return the jittered delay after `tries` failed tries, in seconds."""
        bound_s = min(self.max_delay_s, self.first_delay_s * 2.0 ** (tries - 1))
        return bound_s * (0.5 + random.random() / 2)


class StoreAccess:
    """Reads and writes of the platform's service as procedures.

    Failed calls are repeated within a retry budget, and a circuit breaker fails calls
    to a service that keeps failing at once.

    Parameters
    ----------
    random : Random
        Source of jitter and attempt names.
    policy : RetryPolicy
    """

    def __init__(self, random: Random, policy: RetryPolicy) -> None:
        self._random = random
        self._policy = policy
        self._budget = RetryBudget(MAX_RETRY_TOKENS, TOKENS_PER_SUCCESS)
        self._breakers = {service: CircuitBreaker() for service in StoreService}

    def new_attempt(self) -> AttemptId:
        """Return a name for one write that no other write shares."""
        return AttemptId(f"{self._random.getrandbits(ATTEMPT_ID_BITS):024x}")

    def read(self, key: RowKey) -> Procedure[VersionedRow | None]:
        """Return the row under `key`; raises `StoreAwayError`."""
        reply = yield from self._repeat(ReadRow(key), RowRead)
        return reply.row

    def scan(self, prefix: RowKey) -> Procedure[tuple[VersionedRow, ...]]:
        """Return the rows under `prefix`; raises `StoreAwayError`."""
        reply = yield from self._repeat(ScanRows(prefix), RowsScanned)
        return reply.rows

    def get_object(self, name: ObjectName) -> Procedure[StoredGeneration | None]:
        """Return the object under `name`; raises `StoreAwayError`."""
        reply = yield from self._repeat(GetObject(name), ObjectFetched)
        return reply.content

    def put_object(
        self, name: ObjectName, content: StoredGeneration
    ) -> Procedure[None]:
        """Store an object; raises `StoreAwayError` when that is not certain."""
        yield from self._repeat(PutObject(name, content), Done)

    def list_objects(self, prefix: str) -> Procedure[tuple[ObjectName, ...]]:
        """Return the names of the objects under `prefix`; raises `StoreAwayError`."""
        reply = yield from self._repeat(ListObjects(prefix), ObjectsListed)
        return reply.names

    def delete_object(self, name: ObjectName) -> Procedure[None]:
        """Delete an object; raises `StoreAwayError` when that is not certain."""
        yield from self._repeat(DeleteObject(name), Done)

    def list_vms(self) -> Procedure[tuple[ListedVm, ...]]:
        """Return the platform's lagging list; raises `StoreAwayError`."""
        reply = yield from self._repeat(ListVms(), VmsListed)
        return reply.vms

    def reboot(self, vm: VmId, ticket: RebootTicket) -> Procedure[RebootStatus]:
        """Have the platform reboot `vm` once for `ticket`; raises `StoreAwayError`."""
        reply = yield from self._repeat(RebootVm(vm, ticket), RebootAnswered)
        return reply.status

    def unix_time_s(self) -> Procedure[float]:
        """Return the time of day, in seconds; for records, never for leases."""
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
        """Apply all writes of `items` at most once, whatever answers are lost.

        After a lost answer the first written row is read back: it carries the
        attempt's name if and only if the transaction was applied. A transaction
        that only deletes can't be recognised that way, so its first write must
        not be a deletion.

        Raises
        ------
        StoreAwayError
            Nothing was written.
        WriteUncertainError
            The answer was lost, and reading back failed or shows nothing yet; the
            write may still take effect.
        """
        attempt = self.new_attempt()
        written = _first_write(items)
        is_uncertain = False
        for tries in range(1, self._policy.max_tries + 1):
            reply = yield from self._try(Transact(attempt, tuple(items)))
            if isinstance(reply, Transacted):
                if reply.outcome.is_applied or not is_uncertain:
                    return reply.outcome
                # An earlier try may have applied the writes and moved the versions.
                return (yield from self._read_back(attempt, written, reply.outcome))
            is_uncertain = is_uncertain or _may_have_applied(reply)
            if not (yield from self._may_repeat(tries)):
                break
        if not is_uncertain:
            raise StoreAwayError("the transaction got no answer")
        return (yield from self._read_back(attempt, written, None))

    def _read_back(
        self,
        attempt: AttemptId,
        written: RowWrite,
        otherwise: TransactionOutcome | None,
    ) -> Procedure[TransactionOutcome]:
        try:
            row = yield from self.read(written.key)
        except StoreAwayError as error:
            raise WriteUncertainError(f"attempt {attempt}") from error
        if row is not None and row.attempt == attempt:
            return TransactionOutcome(is_applied=True)
        if otherwise is not None:
            return otherwise
        if written.expected_version == (ABSENT if row is None else row.version):
            raise WriteUncertainError(f"attempt {attempt} may still take effect")
        return TransactionOutcome(is_applied=False, conflicting_key=written.key)

    def _repeat(self, call: PlatformCall, expected: type[ReplyT]) -> Procedure[ReplyT]:
        for tries in range(1, self._policy.max_tries + 1):
            reply = yield from self._try(call)
            if isinstance(reply, expected):
                return reply
            if not (yield from self._may_repeat(tries)):
                break
        raise StoreAwayError(f"no answer to {type(call).__name__}")

    def _try(self, call: PlatformCall) -> Procedure[StoreReply]:
        """Make one call, or fail it at once while the service's circuit is open."""
        breaker = self._breakers[_service_of(call)]
        if breaker.is_open and not breaker.try_probe((yield from self.now_s())):
            return StoreFailed(may_have_applied=False)
        reply = yield call
        if not isinstance(reply, StoreFailed):
            breaker.record_success()
            self._budget.earn()
            return reply
        breaker.record_failure()
        if breaker.is_tripped:
            breaker.open((yield from self.now_s()))
        return reply

    def _may_repeat(self, tries: int) -> Procedure[bool]:
        """Wait before the next try; return False when there is none."""
        if tries >= self._policy.max_tries or not self._budget.try_spend():
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

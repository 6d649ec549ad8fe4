"""Fakes of the ports: a platform with fault injection, and a clock."""

from __future__ import annotations

import random
from collections.abc import Callable
from enum import Enum
from typing import TypeVar

from currantstage.coordination.membership import Configuration
from currantstage.coordination.store import (
    ClockRead,
    DeleteObject,
    Done,
    GetObject,
    ListObjects,
    ListVms,
    ObjectFetched,
    ObjectsListed,
    Pause,
    Procedure,
    PutObject,
    ReadClock,
    ReadRow,
    ReadUnixTime,
    RebootAnswered,
    RebootVm,
    RetryPolicy,
    RowRead,
    RowsScanned,
    ScanRows,
    StoreAccess,
    StoreCall,
    StoreFailed,
    StoreReply,
    Transact,
    Transacted,
    VmsListed,
)
from currantstage.state import (
    ABSENT,
    ListedVm,
    ObjectName,
    RebootStatus,
    RebootTicket,
    RowCheck,
    RowKey,
    RowVersion,
    StoredGeneration,
    TransactionOutcome,
    VersionedRow,
    VmId,
)

T = TypeVar("T")


class Fault(Enum):
    """Fault injected into one call."""

    NONE = "none"
    REFUSED = "refused"
    REPLY_LOST = "reply-lost"


class FakeClock:
    """A clock that is advanced by the test."""

    def __init__(self) -> None:
        self.time_s = 0.0

    def now_s(self) -> float:
        return self.time_s


class FakeStore:
    """In-memory platform that replies to the calls of procedures, with faults."""

    def __init__(self) -> None:
        self.rows: dict[RowKey, VersionedRow] = {}
        self.objects: dict[ObjectName, StoredGeneration] = {}
        self.vms: tuple[ListedVm, ...] = ()
        self.calls: list[StoreCall] = []
        #: Chooses the fault of each call; replaced by tests.
        self.choose_fault: Callable[[StoreCall], Fault] = lambda call: Fault.NONE
        self._last_version = 0
        #: VM of each ticket for which a reboot was requested.
        self.reboots: dict[RebootTicket, VmId] = {}
        #: Returns the status of a reboot; replaced by tests.
        self.reboot_status: Callable[[RebootTicket], RebootStatus] = lambda ticket: (
            RebootStatus.DONE
        )
        self.unix_clock = FakeClock()
        #: Clock of processes that do not have their own.
        self.clock = FakeClock()

    def answer(self, call: StoreCall, clock: FakeClock | None = None) -> StoreReply:
        """Return the reply to one call of a procedure, in a process with `clock`."""
        self.calls.append(call)
        if isinstance(call, ReadClock):
            return ClockRead((clock or self.clock).now_s())
        if isinstance(call, ReadUnixTime):
            return ClockRead(self.unix_clock.now_s())
        if isinstance(call, Pause):
            return Done()
        fault = self.choose_fault(call)
        if fault is Fault.REFUSED:
            return StoreFailed(may_have_applied=False)
        reply = self._perform(call)
        if fault is Fault.REPLY_LOST:
            return StoreFailed(may_have_applied=True)
        return reply

    def run(self, procedure: Procedure[T], clock: FakeClock | None = None) -> T:
        """Run a procedure to completion, in a process with `clock`."""
        try:
            call = next(procedure)
            while True:
                call = procedure.send(self.answer(call, clock))
        except StopIteration as stop:
            return stop.value

    def _perform(self, call: StoreCall) -> StoreReply:
        match call:
            case ReadRow(key):
                return RowRead(self.rows.get(key))
            case ScanRows(prefix):
                keys = sorted(key for key in self.rows if key.startswith(prefix))
                return RowsScanned(tuple(self.rows[key] for key in keys))
            case Transact():
                return Transacted(self._transact(call))
            case GetObject(name):
                return ObjectFetched(self.objects.get(name))
            case PutObject(name, content):
                self.objects.setdefault(name, content)
                return Done()
            case ListObjects(prefix):
                names = sorted(name for name in self.objects if name.startswith(prefix))
                return ObjectsListed(tuple(names))
            case DeleteObject(name):
                self.objects.pop(name, None)
                return Done()
            case ListVms():
                return VmsListed(self.vms)
            case RebootVm(vm, ticket):
                self.reboots.setdefault(ticket, vm)
                return RebootAnswered(self.reboot_status(ticket))
        raise AssertionError(call)

    def _transact(self, call: Transact) -> TransactionOutcome:
        for item in call.items:
            row = self.rows.get(item.key)
            if item.expected_version != (ABSENT if row is None else row.version):
                return TransactionOutcome(is_applied=False, conflicting_key=item.key)
        self._last_version += 1
        for write in call.items:
            if isinstance(write, RowCheck):
                continue
            if write.record is None:
                self.rows.pop(write.key, None)
                continue
            self.rows[write.key] = VersionedRow(
                key=write.key,
                version=RowVersion(self._last_version),
                attempt=call.attempt,
                record=write.record,
            )
        return TransactionOutcome(is_applied=True)


def make_store_access(seed: int = 1) -> StoreAccess:
    """Return a `StoreAccess` with a seeded random generator."""
    return StoreAccess(random.Random(seed), RetryPolicy())


def hold_lease(configuration: Configuration, lease_s: float = 1e9) -> None:
    """Give `configuration` a lease of length `lease_s` from time zero."""
    renewal = configuration.lease.start_renewal(0.0, lease_s)
    configuration.lease.confirm(renewal.number)

"""Ports to the platform services that jobs use, implemented by adapters."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING, Protocol

if TYPE_CHECKING:
    from collections.abc import Sequence

    from currantstage.state._ids import PoolId, VmId
    from currantstage.state.jobs._ids import StepKey, Term, WorkerId
    from currantstage.state.jobs._workers import (
        OrderOutcome,
        PaceOrder,
        RenewalOrder,
        RenewalReply,
        StartOrder,
        StopOrder,
        VmOrderOutcome,
        VmRecord,
    )


@dataclass(frozen=True, slots=True)
class RowName:
    """Identifies a row; rows of one partition can be written atomically."""

    table: str
    partition: str
    key: str


@dataclass(frozen=True, slots=True)
class StoredRow:
    """A row as read from the store; `value` is None if it was deleted."""

    name: RowName
    value: bytes | None
    version: int


@dataclass(frozen=True, slots=True)
class RowWrite:
    """A row to write; a `value` of None deletes it."""

    name: RowName
    value: bytes | None


@dataclass(frozen=True, slots=True)
class RowCondition:
    """The version that a row must have; zero if it must not exist."""

    name: RowName
    version: int


@dataclass(frozen=True, slots=True)
class Committed:
    """The transaction was committed at this version."""

    version: int


@dataclass(frozen=True, slots=True)
class Conflicted:
    """The transaction was not applied; `rows` are the rows that it referred to."""

    rows: tuple[StoredRow, ...]


@dataclass(frozen=True, slots=True)
class RowPage:
    """Rows at one version of the store."""

    rows: tuple[StoredRow, ...]
    version: int


class PartitionedStore(Protocol):
    """The platform's partitioned row store.

    Every method raises `StoreUnavailable`, whose `is_in_doubt` states whether a write
    may have taken effect or may still do so; `StoreRefused` if no repetition of the
    call can succeed.
    """

    async def transact(
        self, conditions: Sequence[RowCondition], writes: Sequence[RowWrite]
    ) -> Committed | Conflicted:
        """Apply all of `writes` if every condition holds, otherwise none."""

    async def read(self, table: str, partition: str, prefix: str = "") -> RowPage:
        """Return the rows of a partition whose keys start with `prefix`."""

    async def read_row(self, name: RowName) -> StoredRow | None:
        """Return a row, or None if it does not exist."""

    async def changes(self, table: str, after: int, wait_ms: int) -> RowPage | None:
        """Return the changes of `table` since `after`, or None if no longer kept."""


class WorkerOrders(Protocol):
    """Orders to workers."""

    async def start(self, order: StartOrder) -> OrderOutcome:
        """Start a run."""

    async def stop(self, order: StopOrder) -> OrderOutcome:
        """Stop a run."""

    async def hold(self, order: RenewalOrder) -> RenewalReply | OrderOutcome:
        """Renew a lease and return the worker's runs, or the reason for failure."""

    async def pace(self, order: PaceOrder) -> OrderOutcome:
        """Throttle a run."""


class VmOrders(Protocol):
    """Orders to the platform about VMs."""

    async def list(self) -> tuple[VmRecord, ...]:
        """Return all VMs; raises `StoreUnavailable`."""

    async def move(self, vm: VmId, pool: PoolId, term: Term) -> VmOrderOutcome:
        """Move a VM to another pool, which ends all runs on it."""

    async def maintain(self, vm: VmId, wave: int, term: Term) -> VmOrderOutcome:
        """Take a VM down for maintenance, which ends all runs on it."""


class AdviceSource(Protocol):
    """The service that decides which workers may run a step."""

    async def advise(
        self, step: StepKey, workers: Sequence[WorkerId], timeout_s: float
    ) -> Advice | None:
        """Return the workers that may run `step`, or None if unknown in time."""


@dataclass(frozen=True, slots=True)
class Ticket:
    """Permission for a worker to run a step."""

    worker: WorkerId
    text: str


@dataclass(frozen=True, slots=True)
class Advice:
    """The workers that may run a step, for a limited time."""

    tickets: tuple[Ticket, ...]
    valid_ms: int

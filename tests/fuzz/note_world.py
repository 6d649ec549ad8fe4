"""Simulation of entry VMs, their clocks and messages, and a platform, for fuzzing."""

from __future__ import annotations

import contextlib
from dataclasses import dataclass, field
from enum import Enum
from typing import Any

from currantstage.coordination import StoreUnreachableError, WriteUncertainError
from currantstage.coordination.membership import (
    Configuration,
    HeadObserver,
    Membership,
    RenewalOutcome,
    RenewalRequest,
)
from currantstage.coordination.notes import Acceptance
from currantstage.coordination.store import (
    GetObject,
    Procedure,
    PutObject,
    ReadClock,
    StoreFailed,
    Transact,
)
from currantstage.state import (
    DEFAULT_CONFIG_LEASE_S,
    FIRST_GENERATION,
    DataCentreId,
    EntryVmId,
    EntryVmRow,
    IncarnationId,
)
from tests.fakes import FakeClock, FakeStore, make_store_access


class CallFault(Enum):
    """Fault injected into one call of one process."""

    NONE = "none"
    REFUSED = "refused"
    REPLY_LOST = "reply-lost"
    #: The write takes effect later, and its reply is lost.
    DELAYED = "delayed"
    #: The write takes effect, and the process is partitioned from then on.
    PARTITIONED = "partitioned"


@dataclass
class Process:
    """A process of an entry VM's daemon; it is paused while no procedure is stepped."""

    name: str
    number: int
    store: FakeStore
    clock_rate: float
    can_reach_table: bool = True
    clock: FakeClock = field(default_factory=FakeClock)

    def __post_init__(self):
        self.access = make_store_access(self.number)
        self.configuration = Configuration()
        self.head_observer = HeadObserver()
        row = EntryVmRow(
            entry_vm=EntryVmId(self.name),
            incarnation=IncarnationId(f"start-{self.number}"),
            data_centre=DataCentreId("a"),
            http_address="127.0.0.1:1",
            peer_address="127.0.0.1:2",
            applied_generation=FIRST_GENERATION,
            config_lease_s=DEFAULT_CONFIG_LEASE_S,
        )
        self.membership = Membership(
            self.access, self.configuration, self.head_observer, row
        )
        self.acceptance = Acceptance(
            self.access, self.configuration, self.head_observer
        )
        self.highest_generation = FIRST_GENERATION

    @property
    def serves_keyed(self):
        return self.configuration.may_serve_keyed(self.clock.now_s())


class RunningProcedure:
    """A procedure running in a process, executed one call at a time."""

    def __init__(self, world: NoteWorld, process: Process, procedure: Procedure[Any]):
        self.process = process
        self.result: Any = None
        self.is_done = False
        self._world = world
        self._procedure = procedure
        self._advance(None)

    def step(self, fault: CallFault) -> None:
        """Have the platform reply to the outstanding call, with `fault`."""
        if not self.is_done:
            self._advance(self._world.reply(self.process, self._call, fault))

    def finish(self, fault: CallFault = CallFault.NONE) -> Any:
        """Run to completion, with `fault` at each transaction."""
        while not self.is_done:
            is_write = isinstance(self._call, Transact)
            self.step(fault if is_write else CallFault.NONE)
        return self.result

    def _advance(self, reply):
        try:
            self._call = self._procedure.send(reply)
        except StopIteration as stop:
            self.result, self.is_done = stop.value, True
        except (StoreUnreachableError, WriteUncertainError):
            self.is_done = True


@dataclass(frozen=True)
class Message:
    """A message in flight: a request to renew on a peer's behalf, or its outcome."""

    sender: Process
    receiver: Process
    content: RenewalRequest | RenewalOutcome

    @property
    def is_outcome(self):
        return isinstance(self.content, RenewalOutcome)


class NoteWorld:
    """Simulated platform, processes and the messages between them."""

    def __init__(self):
        self.store = FakeStore()
        self.processes: list[Process] = []
        self.messages: list[Message] = []
        self.delayed: list[Transact] = []
        self.is_table_down = False
        self.are_objects_down = False
        self._starts = 0

    def start(self, name: str, clock_rate: float) -> Process:
        self._starts += 1
        process = Process(name, self._starts, self.store, clock_rate)
        self.processes.append(process)
        return process

    def advance(self, duration_s: float) -> None:
        for process in self.processes:
            process.clock.time_s += duration_s * process.clock_rate

    def reply(self, process, call, fault):
        if isinstance(call, ReadClock):
            return self.store.answer(call, process.clock)
        is_object = isinstance(call, GetObject | PutObject)
        is_down = self.are_objects_down if is_object else self.is_table_down
        if is_down or not process.can_reach_table or fault is CallFault.REFUSED:
            return StoreFailed(may_have_applied=False)
        if fault is CallFault.DELAYED and isinstance(call, Transact):
            self.delayed.append(call)
            return StoreFailed(may_have_applied=True)
        reply = self.store.answer(call, process.clock)
        if fault is CallFault.PARTITIONED:
            process.can_reach_table = False
        if fault in (CallFault.REPLY_LOST, CallFault.PARTITIONED):
            return StoreFailed(may_have_applied=True)
        return reply

    def run(self, process, procedure, fault=CallFault.NONE):
        return RunningProcedure(self, process, procedure).finish(fault)

    def deliver(self, message: Message) -> None:
        receiver = message.receiver
        if isinstance(message.content, RenewalOutcome):
            receiver.membership.handle_renewal_outcome(message.content)
            return
        outcome = self.run(
            receiver, receiver.membership.renew_for_peer(message.content)
        )
        if outcome is not None:
            self.messages.append(Message(receiver, message.sender, outcome))

    def apply_delayed(self, index: int) -> None:
        with contextlib.suppress(IndexError):
            self.store.answer(self.delayed.pop(index))

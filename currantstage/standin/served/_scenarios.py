"""Scenarios of trials: which faults come when, and what happens to the daemons."""

from __future__ import annotations

from dataclasses import dataclass, field
from enum import Enum
from typing import TYPE_CHECKING

from currantstage.standin.served._faults import Fault, FaultKind, Service
from currantstage.standin.served._load import Load
from currantstage.standin.served._site import POOLS

if TYPE_CHECKING:
    import random
    from collections.abc import Callable, Iterator

#: Calm time at the start of a trial, and between two faults, in seconds.
START_S = 6.0
PAUSE_S = 10.0
#: Bounds of how long the store refuses, in seconds.
STORE_REFUSAL_S = (2.0, 6.0)
#: Bounds of how long the service for VMs is out, in seconds.
VM_OUTAGE_S = (14.0, 24.0)
#: Time after which the load turns to the other pool, in seconds.
TURN_S = 5.0
#: Rate of the jobs that fills the pool whose turn it is, in jobs a second.
TURNING_JOBS_PER_S = 7.0
#: Bounds of how long tasks make no progress, in seconds.
STALL_S = (5.0, 7.0)
#: Time from the beginning of resets to a SIGTERM, and how long they last, in seconds.
RESET_LEAD_S = 0.3
RESET_S = 6.0
#: Load of many small jobs, so that writes are under way at any time.
SMALL_JOBS = Load(jobs_per_s=20.0, max_tasks=2)


class ScenarioName(Enum):
    """A scenario."""

    CALM = "calm"
    STORE_REFUSES_ALL = "store-refuses-all"
    STORE_REFUSES_SCHEDULER = "store-refuses-scheduler"
    VM_ORDERS_UNAVAILABLE = "vm-orders-unavailable"
    VM_SERVICE_REFUSES = "vm-service-refuses"
    KILL_ALL = "kill-all"
    STOP_ONE = "stop-one"
    STOP_ONE_AMID_RESETS = "stop-one-amid-resets"
    STALLED_POOL = "stalled-pool"


class DaemonAction(Enum):
    """What happens to daemons.

    ``KILL_ALL`` kills all of them and starts them again; ``STOP_SCHEDULER`` sends
    SIGTERM to the scheduler and starts it again; ``REFUSE_SCHEDULER`` lets the store
    refuse the scheduler's calls alone.
    """

    KILL_ALL = "kill-all"
    STOP_SCHEDULER = "stop-scheduler"
    REFUSE_SCHEDULER = "refuse-scheduler"


@dataclass(frozen=True, slots=True)
class DaemonEvent:
    """Something that happens to daemons, at a time from the start of the run."""

    action: DaemonAction
    at_s: float
    duration_s: float = 0.0


@dataclass(frozen=True, slots=True)
class Scenario:
    """Load, faults and events of a trial."""

    load: Load = field(default_factory=Load)
    faults: tuple[Fault, ...] = ()
    events: tuple[DaemonEvent, ...] = ()


def build_scenario(
    name: ScenarioName, random: random.Random, duration_s: float
) -> Scenario:
    """Return the scenario of a trial that lasts for `duration_s`.

    >>> import random
    >>> scenario = build_scenario(ScenarioName.KILL_ALL, random.Random(1), 20.0)
    >>> [event.at_s for event in scenario.events]
    [6.0, 16.0]
    """
    return _BUILDERS[name](random, duration_s)


def _build_calm(random: random.Random, duration_s: float) -> Scenario:
    return Scenario()


def _build_store_refusals(random: random.Random, duration_s: float) -> Scenario:
    spans = _spans(random, duration_s, STORE_REFUSAL_S)
    faults = (Fault(Service.STORE, FaultKind.REFUSE, *span) for span in spans)
    return Scenario(faults=tuple(faults))


def _build_scheduler_refusals(random: random.Random, duration_s: float) -> Scenario:
    spans = _spans(random, duration_s, STORE_REFUSAL_S)
    events = (DaemonEvent(DaemonAction.REFUSE_SCHEDULER, *span) for span in spans)
    return Scenario(events=tuple(events))


def _build_unavailable_orders(random: random.Random, duration_s: float) -> Scenario:
    spans = _spans(random, duration_s, VM_OUTAGE_S)
    faults = (
        Fault(Service.VMS, FaultKind.UNAVAILABLE, *span, orders_only=True)
        for span in spans
    )
    return Scenario(Load(TURNING_JOBS_PER_S, TURN_S), tuple(faults))


def _build_vm_refusals(random: random.Random, duration_s: float) -> Scenario:
    spans = _spans(random, duration_s, VM_OUTAGE_S)
    faults = (Fault(Service.VMS, FaultKind.REFUSE, *span) for span in spans)
    return Scenario(Load(TURNING_JOBS_PER_S, TURN_S), tuple(faults))


def _build_stalls(random: random.Random, duration_s: float) -> Scenario:
    faults = (
        Fault(
            Service.WORKERS,
            FaultKind.STALL,
            *span,
            pools=frozenset({random.choice(POOLS)}),
        )
        for span in _spans(random, duration_s, STALL_S)
    )
    return Scenario(faults=tuple(faults))


def _build_kills(random: random.Random, duration_s: float) -> Scenario:
    return Scenario(events=_events(random, duration_s, DaemonAction.KILL_ALL))


def _build_stops(random: random.Random, duration_s: float) -> Scenario:
    events = _events(random, duration_s, DaemonAction.STOP_SCHEDULER)
    return Scenario(SMALL_JOBS, events=events)


def _build_stops_amid_resets(random: random.Random, duration_s: float) -> Scenario:
    events = _events(random, duration_s, DaemonAction.STOP_SCHEDULER)
    faults = (
        Fault(Service.STORE, FaultKind.RESET, each.at_s - RESET_LEAD_S, RESET_S)
        for each in events
    )
    return Scenario(SMALL_JOBS, tuple(faults), events)


_BUILDERS: dict[ScenarioName, Callable[[random.Random, float], Scenario]] = {
    ScenarioName.CALM: _build_calm,
    ScenarioName.STORE_REFUSES_ALL: _build_store_refusals,
    ScenarioName.STORE_REFUSES_SCHEDULER: _build_scheduler_refusals,
    ScenarioName.VM_ORDERS_UNAVAILABLE: _build_unavailable_orders,
    ScenarioName.VM_SERVICE_REFUSES: _build_vm_refusals,
    ScenarioName.KILL_ALL: _build_kills,
    ScenarioName.STOP_ONE: _build_stops,
    ScenarioName.STOP_ONE_AMID_RESETS: _build_stops_amid_resets,
    ScenarioName.STALLED_POOL: _build_stalls,
}


def _events(
    random: random.Random, duration_s: float, action: DaemonAction
) -> tuple[DaemonEvent, ...]:
    spans = _spans(random, duration_s, (0.0, 0.0))
    return tuple(DaemonEvent(action, start_s) for start_s, _ in spans)


def _spans(
    random: random.Random, duration_s: float, bounds_s: tuple[float, float]
) -> Iterator[tuple[float, float]]:
    """Return the beginnings and durations of the faults of a run."""
    start_s = START_S
    while start_s < duration_s:
        span_s = random.uniform(*bounds_s)
        yield start_s, span_s
        start_s += span_s + PAUSE_S

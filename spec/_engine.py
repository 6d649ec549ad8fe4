"""Transition systems over z3 terms: inductive proofs and bounded search."""

from __future__ import annotations

from collections.abc import Iterator, Mapping, Sequence
from dataclasses import dataclass, fields, is_dataclass
from itertools import pairwise
from typing import Any, Generic, Protocol, TypeVar

import z3

StateT = TypeVar("StateT")
_ALWAYS = z3.BoolVal(True)


@dataclass(frozen=True)
class Step(Generic[StateT]):
    """One named step from a state.

    Parameters
    ----------
    name : str
    guards : mapping of str to z3.BoolRef
        What the code checks before the step, by the guard's name.
    after : StateT
        The state that the step makes.
    when : z3.BoolRef
        What the world must look like for the step to exist at all; never removed.
    """

    name: str
    guards: Mapping[str, z3.BoolRef]
    after: StateT
    when: z3.BoolRef = _ALWAYS

    def is_enabled(self, without: str | None = None) -> z3.BoolRef:
        """Return when the step can happen, with one guard removed if named."""
        kept = [guard for name, guard in self.guards.items() if name != without]
        return z3.And(self.when, *kept)


class Model(Protocol[StateT]):
    """A specification: its states, steps and invariants."""

    @property
    def name(self) -> str:
        """What the report calls it."""

    @property
    def search_depth(self) -> int:
        """Depth to which a removed guard's counterexample is searched, in steps."""

    @property
    def opening(self) -> tuple[str, ...]:
        """Steps with which each searched run begins, to keep the search short."""

    @property
    def hints(self) -> Mapping[str, tuple[str, ...]]:
        """Steps that follow the opening when the named guard is removed."""

    def fresh(self, label: str) -> StateT:
        """Return a state of unknowns whose names start with `label`."""

    def is_initial(self, state: StateT) -> z3.BoolRef:
        """Return whether `state` is one to start from."""

    def steps(self, state: StateT, label: str) -> Sequence[Step[StateT]]:
        """Return the steps from `state`; `label` names their free choices."""

    def promises(self, state: StateT) -> Mapping[str, z3.BoolRef]:
        """Return what users are promised, by name."""

    def lemmas(self, state: StateT) -> Mapping[str, z3.BoolRef]:
        """Return the further invariants that make the promises inductive."""


@dataclass(frozen=True)
class Obligation:
    """One part of an inductive proof.

    Parameters
    ----------
    invariant, step : str
    is_proved : bool
    """

    invariant: str
    step: str
    is_proved: bool


@dataclass(frozen=True)
class TracedStep:
    """A step of a trace and the variables that it changed."""

    name: str
    changes: tuple[str, ...]


@dataclass(frozen=True)
class Trace:
    """A run from an initial state to a state that breaks a promise."""

    promise: str
    steps: tuple[TracedStep, ...]

    def __str__(self) -> str:
        lines = [f"breaks: {self.promise}"]
        for number, step in enumerate(self.steps, start=1):
            lines.append(f"  {number}. {step.name}: {', '.join(step.changes)}")
        return "\n".join(lines)


def variables(state: Any, path: str = "") -> Iterator[tuple[str, z3.ExprRef]]:
    """Yield the z3 terms of a state with their paths.

    A state is a dataclass whose fields are terms, further states, or mappings of
    names to further states.
    """
    if isinstance(state, z3.ExprRef):
        yield path, state
        return
    if isinstance(state, Mapping):
        items = list(state.items())
    else:
        assert is_dataclass(state)
        items = [(item.name, getattr(state, item.name)) for item in fields(state)]
    for name, value in items:
        yield from variables(value, f"{path}.{name}" if path else name)


def prove_inductive(model: Model[StateT]) -> Iterator[Obligation]:
    """Yield every obligation of the proof that all invariants are inductive.

    Together the invariants must hold at the start and survive each step from any
    state in which they hold, reachable or not: so they hold after any number of
    steps.
    """
    state = model.fresh("s")
    invariants = _invariants(model, state)
    for name, invariant in invariants.items():
        solver = z3.Solver()
        solver.add(model.is_initial(state), z3.Not(invariant))
        yield Obligation(name, "(start)", solver.check() == z3.unsat)
    for step in model.steps(state, "s"):
        solver = z3.Solver()
        solver.add(*invariants.values(), step.is_enabled())
        for name, invariant in _invariants(model, step.after).items():
            solver.push()
            solver.add(z3.Not(invariant))
            yield Obligation(name, step.name, solver.check() == z3.unsat)
            solver.pop()


def find_trace(
    model: Model[StateT], without: str | None, depth: int | None = None
) -> Trace | None:
    """Return the shortest run after the opening that breaks a promise.

    None says that there is no such run within `depth`.

    Parameters
    ----------
    model : Model
    without : str or None
        Guard to remove from every step that has it.
    depth : int, optional
        Longest run in steps; by default the model's own.
    """
    opening = (*model.opening, *model.hints.get(without or "", ()))
    states = [model.fresh("s0")]
    chosen: list[z3.ArithRef] = []
    run = [model.is_initial(states[0])]
    for index in range((model.search_depth if depth is None else depth) + 1):
        if index >= len(opening):
            for name, promise in model.promises(states[-1]).items():
                # A solver of its own for each query is faster than one for all.
                solver = z3.Solver()
                solver.add(*run, z3.Not(promise))
                if solver.check() == z3.sat:
                    return _read_trace(model, name, solver.model(), states, chosen)
        choice, following = z3.Int(f"step{index}"), model.fresh(f"s{index + 1}")
        allowed = opening[index : index + 1]
        run.append(
            _moves(model, (states[-1], following), choice, index, without, allowed)
        )
        chosen.append(choice)
        states.append(following)
    return None


def guard_names(model: Model[StateT]) -> tuple[str, ...]:
    """Return the name of every guard of the model, in order of first use."""
    steps = model.steps(model.fresh("s"), "s")
    return tuple(dict.fromkeys(name for step in steps for name in step.guards))


def _invariants(model: Model[StateT], state: StateT) -> dict[str, z3.BoolRef]:
    return {**model.promises(state), **model.lemmas(state)}


def _moves(
    model: Model[StateT],
    pair: tuple[StateT, StateT],
    choice: z3.ArithRef,
    index: int,
    without: str | None,
    allowed: tuple[str, ...],
) -> z3.BoolRef:
    """Return whether one step leads from one state to the next.

    Parameters
    ----------
    model : Model
    pair : tuple of two states
    choice : z3.ArithRef
        Number of the step taken.
    index : int
        Place of the step in the run.
    without : str or None
        Guard that is removed.
    allowed : tuple of str
        Names of the steps to choose from; empty for all.
    """
    state, following = pair
    options = []
    for number, step in enumerate(model.steps(state, f"s{index}")):
        if allowed and step.name not in allowed:
            continue
        pairs = zip(variables(following), variables(step.after), strict=True)
        equal = [unknown == value for (_, unknown), (_, value) in pairs]
        options.append(z3.And(choice == number, step.is_enabled(without), *equal))
    return z3.Or(*options)


def _read_trace(
    model: Model[StateT],
    promise: str,
    found: z3.ModelRef,
    states: Sequence[StateT],
    chosen: Sequence[z3.ArithRef],
) -> Trace:
    traced = []
    pairs = pairwise(states)
    for index, (choice, (before, after)) in enumerate(zip(chosen, pairs, strict=False)):
        steps = model.steps(before, f"s{index}")
        number = found.eval(choice, model_completion=True).as_long()
        changes = _changes(found, before, after)
        traced.append(TracedStep(steps[number].name, changes))
    return Trace(promise, tuple(traced))


def _changes(found: z3.ModelRef, before: Any, after: Any) -> tuple[str, ...]:
    pairs = zip(variables(before), variables(after), strict=True)
    values = (
        (path, found.eval(old, True), found.eval(new, True))
        for (path, old), (_, new) in pairs
    )
    return tuple(
        f"{path} {old} -> {new}" for path, old, new in values if str(old) != str(new)
    )

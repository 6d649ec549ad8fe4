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
    """One named transition from a state.

    Parameters
    ----------
    name : str
    guards : mapping of str to z3.BoolRef
        Conditions that the code checks before the step, by the name of the guard.
    after : StateT
        The state after the step.
    when : z3.BoolRef
        Precondition that the environment sets for the step; never removed.
    """

    name: str
    guards: Mapping[str, z3.BoolRef]
    after: StateT
    when: z3.BoolRef = _ALWAYS

    def is_enabled(self, without: str | None = None) -> z3.BoolRef:
        """Return the condition of the step, leaving out the guard `without`."""
        kept = [guard for name, guard in self.guards.items() if name != without]
        return z3.And(self.when, *kept)


class Model(Protocol[StateT]):
    """A specification: its states, steps and invariants."""

    @property
    def name(self) -> str:
        """Name of the model in the report."""

    @property
    def search_depth(self) -> int:
        """Maximum length of a counterexample for a removed guard, in steps."""

    @property
    def prefix(self) -> tuple[str, ...]:
        """Steps with which each searched run begins, to reduce the search space."""

    @property
    def hints(self) -> Mapping[str, tuple[str, ...]]:
        """Steps that follow the prefix, by the name of the removed guard."""

    def fresh(self, label: str) -> StateT:
        """Return a state of fresh constants whose names start with `label`."""

    def is_initial(self, state: StateT) -> z3.BoolRef:
        """Return whether `state` is an initial state."""

    def steps(self, state: StateT, label: str) -> Sequence[Step[StateT]]:
        """Return the steps from `state`.

        The names of their free choices start with `label`.
        """

    def safety_properties(self, state: StateT) -> Mapping[str, z3.BoolRef]:
        """Return the safety properties that users rely on, by name."""

    def lemmas(self, state: StateT) -> Mapping[str, z3.BoolRef]:
        """Return the auxiliary invariants that make the proof inductive."""


@dataclass(frozen=True)
class Obligation:
    """One proof obligation: an invariant holds initially or after a step.

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
    """A run from an initial state to a state that violates a safety property.

    Parameters
    ----------
    violated : str
        Name of the safety property.
    steps : tuple of TracedStep
    """

    violated: str
    steps: tuple[TracedStep, ...]

    def __str__(self) -> str:
        lines = [f"violates: {self.violated}"]
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

    The conjunction of the invariants must hold in each initial state and must be
    preserved by each step from any state in which it holds, reachable or not. It then
    holds after any number of steps.
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
    """Return the shortest run after the prefix that violates a safety property.

    Returns None if there is no such run within `depth` steps.

    Parameters
    ----------
    model : Model
    without : str or None
        Guard to remove from every step that has it.
    depth : int, optional
        Maximum length of the run in steps; by default that of the model.
    """
    prefix = (*model.prefix, *model.hints.get(without or "", ()))
    states = [model.fresh("s0")]
    chosen: list[z3.ArithRef] = []
    run = [model.is_initial(states[0])]
    for index in range((model.search_depth if depth is None else depth) + 1):
        if index >= len(prefix):
            for name, violated in model.safety_properties(states[-1]).items():
                # A separate solver for each query is faster than one shared solver.
                solver = z3.Solver()
                solver.add(*run, z3.Not(violated))
                if solver.check() == z3.sat:
                    return _read_trace(model, name, solver.model(), states, chosen)
        choice, following = z3.Int(f"step{index}"), model.fresh(f"s{index + 1}")
        allowed = prefix[index : index + 1]
        run.append(
            _transition(model, (states[-1], following), choice, index, without, allowed)
        )
        chosen.append(choice)
        states.append(following)
    return None


def guard_names(model: Model[StateT]) -> tuple[str, ...]:
    """Return the name of every guard of the model, in order of first use."""
    steps = model.steps(model.fresh("s"), "s")
    return tuple(dict.fromkeys(name for step in steps for name in step.guards))


def _invariants(model: Model[StateT], state: StateT) -> dict[str, z3.BoolRef]:
    return {**model.safety_properties(state), **model.lemmas(state)}


def _transition(
    model: Model[StateT],
    pair: tuple[StateT, StateT],
    choice: z3.ArithRef,
    index: int,
    without: str | None,
    allowed: tuple[str, ...],
) -> z3.BoolRef:
    """Return the transition relation: one step leads from one state to the next.

    Parameters
    ----------
    model : Model
    pair : tuple of two states
    choice : z3.ArithRef
        Index of the step taken among the steps of the model.
    index : int
        Index of the step within the run.
    without : str or None
        Name of the removed guard.
    allowed : tuple of str
        Names of the permitted steps; empty for all.
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
    violated: str,
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
    return Trace(violated, tuple(traced))


def _changes(found: z3.ModelRef, before: Any, after: Any) -> tuple[str, ...]:
    pairs = zip(variables(before), variables(after), strict=True)
    values = (
        (path, found.eval(old, True), found.eval(new, True))
        for (path, old), (_, new) in pairs
    )
    return tuple(
        f"{path} {old} -> {new}" for path, old, new in values if str(old) != str(new)
    )

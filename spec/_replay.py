"""Execution of a specification with concrete values, in parallel with the code."""

from __future__ import annotations

from collections.abc import Callable, Mapping
from dataclasses import fields
from fractions import Fraction
from typing import Any, Generic, TypeVar

import z3

from spec._engine import Model

StateT = TypeVar("StateT")
#: Label of the free choices of a step.
_LABEL = "walk"


class StepNotEnabledError(Exception):
    """The specification does not allow the step in the current state."""


class Walk(Generic[StateT]):
    """One execution of a specification with concrete values.

    Parameters
    ----------
    model : Model
    **start : int
        Values of variables that the model leaves free in its initial state.
    """

    def __init__(self, model: Model[StateT], **start: int) -> None:
        self._model = model
        solver = z3.Solver()
        state = model.fresh("start")
        free = [z3.Int(f"start.{name}") == value for name, value in start.items()]
        solver.add(model.is_initial(state), *free)
        assert solver.check() == z3.sat
        found = solver.model()
        self.state: StateT = _map_terms(state, lambda term: found.eval(term, True))

    def take(self, name: str, **choices: float) -> None:
        """Take the step `name`; raise `StepNotEnabledError` if it is not enabled."""
        steps = self._model.steps(self.state, _LABEL)
        step = next(step for step in steps if step.name == name)
        terms = [_choice(*item) for item in choices.items()]

        def evaluate(term: z3.ExprRef) -> z3.ExprRef:
            return z3.simplify(z3.substitute(term, *terms))

        failed = [
            guard
            for guard, condition in (("precondition", step.when), *step.guards.items())
            if not z3.is_true(evaluate(condition))
        ]
        if failed:
            raise StepNotEnabledError(f"{name}: {', '.join(failed)}")
        self.state = _map_terms(step.after, evaluate)

    def satisfies_invariants(self) -> bool:
        """Return whether every safety property and every lemma holds."""
        invariants = {
            **self._model.safety_properties(self.state),
            **self._model.lemmas(self.state),
        }
        return all(z3.is_true(z3.simplify(each)) for each in invariants.values())


def value_of(term: z3.ExprRef) -> Any:
    """Return the Python value of a term without free constants."""
    simplified = z3.simplify(term)
    if z3.is_int_value(simplified):
        return simplified.as_long()
    if z3.is_rational_value(simplified):
        return Fraction(
            simplified.numerator_as_long(), simplified.denominator_as_long()
        )
    return z3.is_true(simplified)


def _choice(name: str, value: float) -> tuple[z3.ArithRef, z3.ArithRef]:
    constant = f"{_LABEL}.{name}"
    if name.endswith("_s"):
        exact = Fraction(value)
        return z3.Real(constant), z3.Q(exact.numerator, exact.denominator)
    return z3.Int(constant), z3.IntVal(int(value))


def _map_terms(state: Any, change: Callable[[z3.ExprRef], z3.ExprRef]) -> Any:
    if isinstance(state, z3.ExprRef):
        return change(state)
    if isinstance(state, Mapping):
        return {name: _map_terms(value, change) for name, value in state.items()}
    changed = {
        each.name: _map_terms(getattr(state, each.name), change)
        for each in fields(state)
    }
    return type(state)(**changed)

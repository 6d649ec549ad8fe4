"""Report of the proved invariants and of the counterexamples without each guard."""

from __future__ import annotations

from collections import defaultdict
from collections.abc import Iterator
from typing import Any

from spec import _allotments, _inherited_leases, _notes, _ownership
from spec._engine import Model, find_trace, guard_names, prove_inductive


def proof_models() -> tuple[Model[Any], ...]:
    """Return the models on which the invariants are proved."""
    return (
        _allotments.AllotmentModel(),
        _notes.NoteModel(),
        _ownership.OwnershipModel(),
        _inherited_leases.InheritedLeasesModel(),
    )


def search_models() -> tuple[Model[Any], ...]:
    """Return the smaller models on which counterexamples are searched."""
    return (
        _allotments.AllotmentModel(_allotments.SEARCH_NAMES),
        _notes.NoteModel(_notes.SEARCH_NAMES),
        _ownership.OwnershipModel(),
        _inherited_leases.InheritedLeasesModel(_inherited_leases.SEARCH_NAMES),
    )


def check_all(is_traced: bool) -> Iterator[tuple[str, bool]]:
    """Yield each line of the report, and whether its result is the expected one.

    Parameters
    ----------
    is_traced : bool
        Whether to print the counterexamples in full.
    """
    for model in proof_models():
        yield from _proof_lines(model)
    for model in search_models():
        for guard in guard_names(model):
            yield _guard_line(model, guard, is_traced)


def _proof_lines(model: Model[Any]) -> Iterator[tuple[str, bool]]:
    steps: defaultdict[str, list[str]] = defaultdict(list)
    counts: defaultdict[str, int] = defaultdict(int)
    for obligation in prove_inductive(model):
        counts[obligation.invariant] += 1
        if not obligation.is_proved:
            steps[obligation.invariant].append(obligation.step)
    for invariant, count in counts.items():
        failed = steps[invariant]
        result = f"fails at {', '.join(failed)}" if failed else "inductive"
        yield f"{model.name}: {invariant}: {result} ({count} obligations)", not failed


def _guard_line(model: Model[Any], guard: str, is_traced: bool) -> tuple[str, bool]:
    trace = find_trace(model, guard)
    place = f"{model.name} without '{guard}'"
    if trace is None:
        return f"{place}: no counterexample in {model.search_depth} steps", False
    if is_traced:
        return f"{place} {trace}", True
    return f"{place}: violates '{trace.violated}' in {len(trace.steps)} steps", True

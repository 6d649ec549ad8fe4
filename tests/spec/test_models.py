"""Every invariant is inductive, and every guard is necessary."""

from __future__ import annotations

import pytest

from spec import find_trace, guard_names, proof_models, prove_inductive, search_models

GUARDS = [
    pytest.param(model, guard, id=f"{model.name}-{guard}")
    for model in search_models()
    for guard in guard_names(model)
]


@pytest.mark.parametrize("model", proof_models(), ids=lambda model: model.name)
def test_every_invariant_is_inductive(model):
    obligations = list(prove_inductive(model))
    assert len(obligations) > 100
    assert [each for each in obligations if not each.is_proved] == []


@pytest.mark.parametrize(("model", "guard"), GUARDS)
def test_without_a_guard_a_safety_property_is_violated(model, guard):
    trace = find_trace(model, guard)
    assert trace is not None
    assert trace.violated in model.safety_properties(model.fresh("s"))


@pytest.mark.parametrize("model", search_models(), ids=lambda model: model.name)
def test_with_all_guards_no_short_run_violates_a_safety_property(model):
    assert find_trace(model, without=None, depth=len(model.prefix) + 3) is None

"""Specifications of the core protocol, checked with z3.

``python -m spec`` proves that every invariant is inductive and shows for each guard
a counterexample without it.
"""

from __future__ import annotations

from spec._allotments import AllotmentModel
from spec._engine import Model, Step, Trace, find_trace, guard_names, prove_inductive
from spec._notes import NoteModel, max_lease_s
from spec._replay import StepNotEnabledError, Walk, value_of
from spec._report import check_all, proof_models, search_models

__all__ = [
    "AllotmentModel",
    "Model",
    "NoteModel",
    "Step",
    "StepNotEnabledError",
    "Trace",
    "Walk",
    "check_all",
    "find_trace",
    "guard_names",
    "max_lease_s",
    "proof_models",
    "prove_inductive",
    "search_models",
    "value_of",
]

"""How long the state machines run: short and the same in CI, longer by `tools/fuzz`."""

from __future__ import annotations

import os

from hypothesis import HealthCheck, settings

#: Names how many times as many examples are run, from the seed that pytest was given.
FACTOR_VARIABLE = "CURRANTSTAGE_FUZZ_FACTOR"


def machine_settings(max_examples: int, step_count: int) -> settings:
    """Return the settings of one state machine.

    Without a factor in the environment the examples are the same in each run.
    """
    factor = int(os.environ.get(FACTOR_VARIABLE, "0"))
    return settings(
        max_examples=max_examples * max(factor, 1),
        stateful_step_count=step_count,
        derandomize=factor == 0,
        database=None,
        deadline=None,
        suppress_health_check=list(HealthCheck),
    )

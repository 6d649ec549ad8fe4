"""Settings of the state machines: reproducible in CI, more examples in `tools/fuzz`."""

from __future__ import annotations

import os

from hypothesis import HealthCheck, settings

#: Environment variable with the factor by which the number of examples is multiplied.
#: When it is set, the examples depend on the seed given to pytest.
FACTOR_VARIABLE = "CURRANTSTAGE_FUZZ_FACTOR"


def machine_settings(max_examples: int, step_count: int) -> settings:
    """Return the Hypothesis settings of one state machine.

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

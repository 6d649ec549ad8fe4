"""The time of day without steps that are soon reverted."""

from __future__ import annotations

from currantstage.util import StepFilteredUnixClock
from currantstage.util._clock import STEP_CONFIRMATION_S


class _FakeClock:
    def __init__(self, now_s: float) -> None:
        self.value_s = now_s

    def now_s(self) -> float:
        return self.value_s


def _make_clocks() -> tuple[_FakeClock, _FakeClock, StepFilteredUnixClock]:
    monotonic, unix = _FakeClock(100.0), _FakeClock(5000.0)
    return monotonic, unix, StepFilteredUnixClock(monotonic, unix)


def test_reverted_step_is_not_adopted() -> None:
    monotonic, unix, clock = _make_clocks()
    monotonic.value_s, unix.value_s = 110.0, 5012.4
    assert clock.now_s() == 5010.0
    monotonic.value_s, unix.value_s = 116.0, 5016.0
    assert clock.now_s() == 5016.0


def test_drift_is_adopted_at_once() -> None:
    monotonic, unix, clock = _make_clocks()
    monotonic.value_s, unix.value_s = 110.0, 5010.03
    assert clock.now_s() == 5010.03


def test_persistent_step_is_adopted() -> None:
    monotonic, unix, clock = _make_clocks()
    monotonic.value_s, unix.value_s = 110.0, 5110.0
    assert clock.now_s() == 5010.0
    later_s = STEP_CONFIRMATION_S + 1.0
    monotonic.value_s, unix.value_s = 110.0 + later_s, 5110.0 + later_s
    clock.now_s()
    assert clock.now_s() == unix.value_s

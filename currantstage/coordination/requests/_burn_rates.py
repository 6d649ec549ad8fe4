"""Error budgets and their burn rates, summed over all entry VMs."""

from __future__ import annotations

from collections import defaultdict
from dataclasses import dataclass
from enum import Enum
from typing import TYPE_CHECKING

from msgspec import Struct

from currantstage.coordination.requests._service_levels import WINDOWS_S, WindowCount
from currantstage.state import QueueId, TeamId

if TYPE_CHECKING:
    from collections.abc import Iterable, Mapping

    from currantstage.state import Queue


class Objective(Enum):
    """Kinds of service level objectives."""

    AVAILABILITY = "availability"
    LATENCY = "latency"


class Alert(Enum):
    """Urgency of the burn rate of an error budget."""

    NONE = "none"
    #: Needs attention within a day.
    TICKET = "ticket"
    #: Needs immediate attention.
    PAGE = "page"


@dataclass(frozen=True, slots=True)
class AlertRule:
    """Raises an alert when the burn rate is too high in a long and a short window.

    Parameters
    ----------
    alert : Alert
    burn_rate : float
    long_s, short_s : int
        The windows, in seconds. The short one confirms that the burn continues.
    """

    alert: Alert
    burn_rate: float
    long_s: int
    short_s: int


#: Rules in order of urgency; the first that matches applies.
ALERT_RULES = (
    AlertRule(Alert.PAGE, burn_rate=14.4, long_s=3_600, short_s=300),
    AlertRule(Alert.PAGE, burn_rate=6.0, long_s=21_600, short_s=3_600),
    AlertRule(Alert.TICKET, burn_rate=1.0, long_s=259_200, short_s=21_600),
)


class WindowBurn(Struct, frozen=True):
    """Burn rate of an error budget in one window.

    Parameters
    ----------
    window_s : int
    requests, bad : int
    burn_rate : float or None
        At 1.0 the budget is exactly used up; None if there were no requests.
    """

    window_s: int
    requests: int
    bad: int
    burn_rate: float | None


class BudgetBurn(Struct, frozen=True):
    """Error budget of one objective for one queue and team.

    Parameters
    ----------
    queue : QueueId
    team : TeamId
        `NO_TEAM` for requests without a key.
    objective : Objective
    target : float
    windows : tuple of WindowBurn
    alert : Alert
    """

    queue: QueueId
    team: TeamId
    objective: Objective
    target: float
    windows: tuple[WindowBurn, ...]
    alert: Alert

    @property
    def remaining_budget(self) -> float | None:
        """Remaining fraction of the longest window's budget; negative if overspent."""
        rate = self.windows[-1].burn_rate
        return None if rate is None else 1.0 - rate


class SeriesCount(Struct, frozen=True):
    """Request counts of one entry VM for one queue and team."""

    queue: QueueId
    team: TeamId
    windows: tuple[WindowCount, ...]


def merge_counts(series: Iterable[SeriesCount]) -> list[SeriesCount]:
    """Sum the counts of several entry VMs by queue and team."""
    sums: defaultdict[tuple[QueueId, TeamId], dict[int, WindowCount]]
    sums = defaultdict(lambda: {each: WindowCount(each) for each in WINDOWS_S})
    for each in series:
        windows = sums[each.queue, each.team]
        for count in each.windows:
            if count.window_s in windows:
                windows[count.window_s] = _sum_counts(windows[count.window_s], count)
    return [
        SeriesCount(queue, team, tuple(windows.values()))
        for (queue, team), windows in sorted(sums.items(), key=lambda item: item[0])
    ]


def compute_budget_burns(
    series: Iterable[SeriesCount], queues: Mapping[QueueId, Queue]
) -> list[BudgetBurn]:
    """Return the budget burn of each objective of the queues that have a record."""
    burns = []
    for each in merge_counts(series):
        queue = queues.get(each.queue)
        if queue is not None:
            burns.append(_compute_availability_burn(each, queue))
            burns.append(_compute_latency_burn(each, queue))
    return burns


def _sum_counts(first: WindowCount, second: WindowCount) -> WindowCount:
    return WindowCount(
        first.window_s,
        first.total + second.total,
        first.failed + second.failed,
        first.slow + second.slow,
    )


def _compute_availability_burn(series: SeriesCount, queue: Queue) -> BudgetBurn:
    target = queue.availability_objective
    windows = tuple(
        _compute_window_burn(count.window_s, count.total, count.failed, target)
        for count in series.windows
    )
    return _make_budget_burn(series, Objective.AVAILABILITY, target, windows)


def _compute_latency_burn(series: SeriesCount, queue: Queue) -> BudgetBurn:
    target = queue.latency_objective
    windows = tuple(
        _compute_window_burn(
            count.window_s, count.total - count.failed, count.slow, target
        )
        for count in series.windows
    )
    return _make_budget_burn(series, Objective.LATENCY, target, windows)


def _make_budget_burn(
    series: SeriesCount,
    objective: Objective,
    target: float,
    windows: tuple[WindowBurn, ...],
) -> BudgetBurn:
    alert = _choose_alert(windows)
    return BudgetBurn(series.queue, series.team, objective, target, windows, alert)


def _compute_window_burn(
    window_s: int, requests: int, bad: int, target: float
) -> WindowBurn:
    rate = bad / requests / (1.0 - target) if requests else None
    return WindowBurn(window_s, requests, bad, rate)


def _choose_alert(windows: tuple[WindowBurn, ...]) -> Alert:
    rates = {each.window_s: each.burn_rate or 0.0 for each in windows}
    for rule in ALERT_RULES:
        if min(rates[rule.long_s], rates[rule.short_s]) >= rule.burn_rate:
            return rule.alert
    return Alert.NONE

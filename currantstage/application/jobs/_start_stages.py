"""Times that a start spends on its way from its placing to the worker's answer."""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class StartStages:
    """Parts of the time from the placing of a task to the answer of its worker.

    Parameters
    ----------
    storing_s : float
        From the placing until it was stored.
    queued_s : float
        From then until the start order was sent.
    answering_s : float
        From then until its outcome was known.
    """

    storing_s: float
    queued_s: float
    answering_s: float


class StageTimes:
    """Mean times of the stages of some starts.

    >>> times = StageTimes()
    >>> times.add(StartStages(storing_s=0.02, queued_s=0.01, answering_s=0.004))
    >>> times.take_means()
    {'storing': 0.02, 'queued': 0.01, 'answering': 0.004}
    >>> times.take_means()
    {}
    """

    def __init__(self) -> None:
        self._stages: list[StartStages] = []

    def add(self, stages: StartStages) -> None:
        """Add a start whose outcome is known."""
        self._stages.append(stages)

    def take_means(self) -> dict[str, float]:
        """Return the mean time of each stage since the last call, in seconds."""
        stages, self._stages = self._stages, []
        if not stages:
            return {}
        return {
            "storing": _mean([each.storing_s for each in stages]),
            "queued": _mean([each.queued_s for each in stages]),
            "answering": _mean([each.answering_s for each in stages]),
        }


def _mean(times_s: list[float]) -> float:
    return round(sum(times_s) / len(times_s), 3)

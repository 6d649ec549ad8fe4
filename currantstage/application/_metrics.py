"""Metrics of a daemon that serves requests, exported at ``/metrics``."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

from opentelemetry.metrics import Observation

from currantstage.application._metrics_registry import (
    LATENCY_BUCKETS_S,
    MetricsRegistry,
)

if TYPE_CHECKING:
    from collections.abc import Callable, Iterable, Mapping

    from opentelemetry.metrics import CallbackOptions

    from currantstage.coordination.requests import RefusalReason
    from currantstage.state import QueueId, TeamId, VmId


@dataclass(frozen=True, slots=True)
class TeamAllotment:
    """Slots of one team's upper limit at this entry VM."""

    held_slots: int
    used_slots: int


class DaemonMetrics:
    """Metric instruments of a daemon that serves requests."""

    def __init__(self) -> None:
        self._registry = MetricsRegistry()
        meter = self._registry.meter
        self._requests = meter.create_counter(
            "currantstage_requests", description="Requests by queue, team and outcome."
        )
        self._latency = meter.create_histogram(
            "currantstage_request_duration",
            unit="s",
            description="Time from arrival to answer.",
            explicit_bucket_boundaries_advisory=LATENCY_BUCKETS_S,
        )
        self._refusals = meter.create_counter(
            "currantstage_refusals", description="Requests not run, by reason."
        )
        self._retries = meter.create_counter(
            "currantstage_retries", description="Further attempts of requests."
        )
        self._ejections = meter.create_counter(
            "currantstage_ejections", description="Ejections of workers."
        )
        self._meter = meter

    def observe_allotments(
        self, read: Callable[[], Mapping[TeamId, TeamAllotment]]
    ) -> None:
        """Export what `read` returns at each scrape."""
        meter = self._meter

        def observe_held(_: CallbackOptions) -> Iterable[Observation]:
            for team, allotment in read().items():
                yield Observation(allotment.held_slots, {"team": team})

        def observe_used(_: CallbackOptions) -> Iterable[Observation]:
            for team, allotment in read().items():
                yield Observation(allotment.used_slots, {"team": team})

        meter.create_observable_gauge(
            "currantstage_allotment_held_slots",
            [observe_held],
            description="Slots of the team's upper limit that this entry VM holds.",
        )
        meter.create_observable_gauge(
            "currantstage_allotment_used_slots",
            [observe_used],
            description="Slots of the team's upper limit that its requests use.",
        )

    def count_request(
        self, queue: QueueId, team: str, outcome: str, duration_s: float
    ) -> None:
        """Count one request that has ended."""
        labels = {"queue": queue, "team": team, "outcome": outcome}
        self._requests.add(1, labels)
        self._latency.record(duration_s, labels)

    def count_refusal(self, queue: QueueId, reason: RefusalReason) -> None:
        """Count one refused request."""
        self._refusals.add(1, {"queue": queue, "reason": reason.value})

    def count_retry(self, queue: QueueId) -> None:
        """Count one retry of a request."""
        self._retries.add(1, {"queue": queue})

    def count_ejection(self, vm: VmId) -> None:
        """Count one ejection of a worker."""
        self._ejections.add(1, {"vm": vm})

    def observe_load(
        self, waiting: Callable[[], int], running: Callable[[], int]
    ) -> None:
        """Export the numbers of waiting and running requests at each scrape."""
        self._meter.create_observable_gauge(
            "currantstage_waiting_requests",
            [lambda _: [Observation(waiting())]],
            description="Requests that wait for a slot.",
        )
        self._meter.create_observable_gauge(
            "currantstage_running_requests",
            [lambda _: [Observation(running())]],
            description="Requests that hold a slot, those in doubt included.",
        )

    def render(self) -> bytes:
        """Return all metrics in the Prometheus text format."""
        return self._registry.render()

    def close(self) -> None:
        """Shut down the metrics registry."""
        self._registry.close()

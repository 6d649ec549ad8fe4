"""Metrics of a daemon that schedules jobs."""

from __future__ import annotations

from typing import TYPE_CHECKING

from opentelemetry.metrics import Observation

from currantstage.application._metrics_registry import (
    LATENCY_BUCKETS_S,
    MetricsRegistry,
)

if TYPE_CHECKING:
    from collections.abc import Callable, Iterable, Mapping

    from opentelemetry.metrics import CallbackOptions

    from currantstage.application.jobs._configuration import ConfigurationFollower
    from currantstage.state import PoolId
    from currantstage.state.jobs import EndKind, JobState, OrderOutcome

#: Boundaries of the sizes of pages of progress, in bytes.
PAGE_SIZE_BUCKETS_BYTES = (256, 1024, 4096, 16_384, 49_152, 65_536)


class JobMetrics:
    """Counters and latency histograms of calls, tasks and writes."""

    def __init__(self) -> None:
        self._registry = MetricsRegistry()
        meter = self._registry.meter
        self._calls = meter.create_counter(
            "currantstage_job_calls",
            description="Calls about jobs by kind and outcome.",
        )
        self._starts = meter.create_counter(
            "currantstage_task_starts", description="Start orders by outcome."
        )
        self._ends = meter.create_counter(
            "currantstage_task_ends", description="Ends of runs by kind."
        )
        self._jobs = meter.create_counter(
            "currantstage_jobs_ended", description="Jobs that have ended, by state."
        )
        self._commits = meter.create_counter(
            "currantstage_commits", description="Writes of the scheduler by outcome."
        )
        self._page_sizes = meter.create_histogram(
            "currantstage_progress_page_size",
            unit="By",
            description="Bound of the size of a stored page of progress.",
            explicit_bucket_boundaries_advisory=PAGE_SIZE_BUCKETS_BYTES,
        )
        self._latencies = {
            name: meter.create_histogram(
                f"currantstage_{name}",
                unit="s",
                description=description,
                explicit_bucket_boundaries_advisory=LATENCY_BUCKETS_S,
            )
            for name, description in _HISTOGRAMS.items()
        }

    def observe_scheduler(self, holds_lease: Callable[[], bool]) -> None:
        """Export whether this daemon is the scheduler, evaluated at each scrape."""

        def observe(_: CallbackOptions) -> Iterable[Observation]:
            yield Observation(int(holds_lease()))

        self._registry.meter.create_observable_gauge(
            "currantstage_is_scheduler",
            [observe],
            description="One at the daemon that holds the scheduler's lease.",
        )

    def observe_workers(
        self, count_workers: Callable[[], Mapping[PoolId, Mapping[str, int]]]
    ) -> None:
        """Export the workers of each pool by what blocks starts, at each scrape."""

        def observe(_: CallbackOptions) -> Iterable[Observation]:
            for pool, counts in count_workers().items():
                for blocker, count in counts.items():
                    yield Observation(count, {"pool": pool, "blocker": blocker})

        self._registry.meter.create_observable_gauge(
            "currantstage_workers",
            [observe],
            description="Workers by pool and by what blocks starts on them.",
        )

    def observe_configuration(self, follower: ConfigurationFollower) -> None:
        """Export the version and the age of the configuration, at each scrape."""

        def observe_version(_: CallbackOptions) -> Iterable[Observation]:
            if follower.current is not None:
                yield Observation(follower.current.version)

        def observe_age(_: CallbackOptions) -> Iterable[Observation]:
            yield Observation(follower.confirmed_age_s())

        def observe_readable(_: CallbackOptions) -> Iterable[Observation]:
            yield Observation(int(follower.is_readable))

        def observe_transfers(_: CallbackOptions) -> Iterable[Observation]:
            yield Observation(follower.transfers.answered, {"outcome": "answered"})
            yield Observation(follower.transfers.abandoned, {"outcome": "abandoned"})

        def observe_received(_: CallbackOptions) -> Iterable[Observation]:
            transfers = follower.transfers
            yield Observation(transfers.answered_bytes, {"outcome": "answered"})
            yield Observation(transfers.abandoned_bytes, {"outcome": "abandoned"})

        self._registry.meter.create_observable_gauge(
            "currantstage_configuration_readable",
            [observe_readable],
            description="Zero if the stored configuration can't be decoded.",
        )
        self._registry.meter.create_observable_counter(
            "currantstage_configuration_reads",
            [observe_transfers],
            description="Reads of the configuration from the store, by outcome.",
        )
        self._registry.meter.create_observable_counter(
            "currantstage_configuration_received",
            [observe_received],
            unit="By",
            description="Bytes that arrived for reads of the configuration.",
        )
        self._registry.meter.create_observable_gauge(
            "currantstage_configuration_version",
            [observe_version],
            description="Version of the configuration in force.",
        )
        self._registry.meter.create_observable_gauge(
            "currantstage_configuration_age",
            [observe_age],
            unit="s",
            description="Time since the configuration was last confirmed.",
        )

    def count_call(self, kind: str, outcome: str, duration_s: float) -> None:
        """Count a caller's call that has been answered."""
        self._calls.add(1, {"kind": kind, "outcome": outcome})
        self._latencies["job_call_duration"].record(duration_s, {"kind": kind})

    def count_start(
        self, outcome: OrderOutcome, waited_s: float, clock_age_s: float | None
    ) -> None:
        """Count a start order.

        Parameters
        ----------
        outcome : OrderOutcome
        waited_s : float
            Time since the task was placed, in seconds.
        clock_age_s : float or None
            Age of the reading of the worker's clock that its lease is reckoned from;
            None if there is none.
        """
        self._starts.add(1, {"outcome": outcome.value})
        self._latencies["task_start_wait"].record(waited_s)
        if clock_age_s is not None:
            self._latencies["worker_clock_age"].record(clock_age_s)

    def count_end(self, kind: EndKind) -> None:
        """Count the end of a run."""
        self._ends.add(1, {"kind": kind.value})

    def count_job(self, state: JobState, age_s: float) -> None:
        """Count a job whose end has been stored."""
        self._jobs.add(1, {"state": state.value})
        self._latencies["job_duration"].record(age_s, {"state": state.value})

    def count_commit(self, outcome: str, duration_s: float) -> None:
        """Count a write of the scheduler."""
        self._commits.add(1, {"outcome": outcome})
        self._latencies["commit_duration"].record(duration_s)

    def count_page(self, size_bytes: int) -> None:
        """Count a stored page of progress, by a bound of its size."""
        self._page_sizes.record(size_bytes)

    def observe_turn(self, work: str, duration_s: float) -> None:
        """Record how long a computation over jobs has kept the event loop."""
        self._latencies["turn_duration"].record(duration_s, {"work": work})

    def render(self) -> bytes:
        """Return all metrics in the Prometheus text format."""
        return self._registry.render()

    def close(self) -> None:
        """Release the instruments."""
        self._registry.close()


_HISTOGRAMS = {
    "job_call_duration": "Time from a call's arrival to its answer.",
    "task_start_wait": "Time from a task's placement until its start is ordered.",
    "worker_clock_age": "Age of the reading of a worker's clock that a lease is from.",
    "job_duration": "Time from a job's acceptance until its end is stored.",
    "turn_duration": "Time that a computation over jobs keeps the event loop.",
    "commit_duration": "Time that a write of the scheduler takes.",
}

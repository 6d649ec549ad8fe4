"""Registry of a daemon's metrics, rendered on demand; it starts no thread."""

from __future__ import annotations

import threading
from typing import TYPE_CHECKING

from opentelemetry.exporter.prometheus import PrometheusMetricReader
from opentelemetry.metrics import Observation
from opentelemetry.sdk.metrics import MeterProvider
from prometheus_client import CollectorRegistry, generate_latest

if TYPE_CHECKING:
    from collections.abc import Iterable

    from opentelemetry.metrics import CallbackOptions

#: Upper bounds of the latency histogram's buckets, in seconds.
LATENCY_BUCKETS_S = (
    0.005,
    0.01,
    0.025,
    0.05,
    0.1,
    0.25,
    0.5,
    1.0,
    2.5,
    5.0,
    10.0,
    30.0,
)


class MetricsRegistry:
    """Holds the metric instruments of a daemon.

    Each daemon has its own registry, so that several can run in one process.
    """

    def __init__(self) -> None:
        self._registry = CollectorRegistry()
        reader = PrometheusMetricReader(
            disable_target_info=True, scope_info_enabled=False, registry=self._registry
        )
        self._provider = MeterProvider(metric_readers=[reader])
        self.meter = self._provider.get_meter("currantstage")
        self.meter.create_observable_gauge(
            "currantstage_python_threads",
            [_observe_threads],
            description="Python threads of the process; more than one is a fault.",
        )

    def render(self) -> bytes:
        """Return all metrics in the Prometheus text format."""
        return generate_latest(self._registry)

    def close(self) -> None:
        """Shut down the meter provider."""
        self._provider.shutdown()


def _observe_threads(_: CallbackOptions) -> Iterable[Observation]:
    yield Observation(threading.active_count())

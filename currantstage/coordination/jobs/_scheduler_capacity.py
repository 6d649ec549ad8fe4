"""How much work a daemon could carry as the scheduler."""

from __future__ import annotations

from msgspec import Struct

#: Traffic over the scheduler's network link for each start and its end, in Mbit.
LINK_MBIT_PER_START = 0.009
#: Processor time of the scheduler for each start and its end, in core-seconds.
CPU_CORE_S_PER_START = 0.0016


class SchedulerCapacity(Struct, frozen=True, kw_only=True):
    """Resources of a daemon that limit it as the scheduler; zero if unknown.

    All orders to workers, their replies and the stored progress pass the scheduler's
    network link and take its processor time.

    Parameters
    ----------
    link_mbps : float
        Speed of the network link, in Mbit/s.
    cpu_cores : float
        Speed of the processor, as a multiple of one whole core.
    """

    link_mbps: float = 0.0
    cpu_cores: float = 0.0

    def starts_per_s(self) -> float:
        """Return how many starts a second the scarcer of the resources allows.

        Examples
        --------
        >>> SchedulerCapacity(link_mbps=10.0, cpu_cores=0.8).starts_per_s()
        500.0
        >>> round(SchedulerCapacity(link_mbps=1.8, cpu_cores=0.8).starts_per_s())
        200
        """
        return min(
            self.link_mbps / LINK_MBIT_PER_START, self.cpu_cores / CPU_CORE_S_PER_START
        )

"""Limits and durations of the scheduler."""

from __future__ import annotations

from msgspec import Struct


class SchedulerTuning(Struct, frozen=True, kw_only=True):
    """Settings of the scheduler.

    Parameters
    ----------
    worker_lease_ms : int
        Duration of a worker's lease, from its last renewal.
    max_lease_ms : int
        Longest lease that a worker grants, whatever an order asks for.
    max_order_delay_ms : int
        How late a worker may carry out an order that got no answer.
    hold_wait_ms : int
        How long a worker may delay its reply to a renewal until a run ends (long
        polling).
    owner_lease_ms : int
        How long a daemon may act as the scheduler after its last confirmed write.
    renewal_ms : int
        Renewal interval of the scheduler's lease.
    takeover_ms : int
        How long the lease must stay unchanged before another daemon takes it over.
    suspect_ms : int
        How long the lease must stay unchanged before its holder is queried about it.
    hand_over_ms : int
        How long the holder's writes must fail before it offers the lease to a peer.
    stop_retry_ms : int
        Retry interval of stop orders that are not confirmed.
    max_stop_ms : int
        Maximum time that a worker takes to stop a run.
    stall_ms : int
        Time without progress after which a run is stopped.
    vm_lease_ms : int
        Minimum time between orders of two schedulers for the same VM.
    retention_ms : int
        How long an ended job is kept; longer than the delay of any late write.
    min_vms_per_pool : int
        Minimum number of VMs of a pool that serves a queue.
    surplus_ms : int
        How long a pool must have surplus VMs before it releases them.
    demand_horizon_ms : int
        Time within which a pool should finish its current work.
    max_direct_starts : int
        Number of start orders under way from which on further ones are sent by other
        daemons.
    min_relayed_starts : int
        Mean number of start orders for each of these daemons that makes one more worth
        its messages.
    upkeep_ms, move_ms : int
        How long a VM is down for maintenance or while it moves to another pool.
    """

    worker_lease_ms: int = 4000
    max_lease_ms: int = 6000
    max_order_delay_ms: int = 12_000
    hold_wait_ms: int = 700
    owner_lease_ms: int = 6000
    renewal_ms: int = 500
    takeover_ms: int = 2000
    suspect_ms: int = 700
    hand_over_ms: int = 300
    stop_retry_ms: int = 500
    max_stop_ms: int = 1000
    stall_ms: int = 1500
    vm_lease_ms: int = 3000
    retention_ms: int = 180_000
    min_vms_per_pool: int = 3
    surplus_ms: int = 1500
    demand_horizon_ms: int = 1200
    max_direct_starts: int = 32
    min_relayed_starts: int = 8
    upkeep_ms: int = 2000
    move_ms: int = 1500

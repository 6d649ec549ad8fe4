"""Which jobs count as standing still."""

from __future__ import annotations

from currantstage.standin.served import (
    Fault,
    FaultKind,
    Service,
    StandingJob,
    StandstillCheck,
    WorkerRoom,
    is_excused,
)
from currantstage.state import EntryVmId, PoolId
from currantstage.state.jobs import JobId, Resources

POOL = PoolId("parcels")
TASK = Resources(1000, 500, 0)
CAPACITY = Resources(8000, 16000, 0)
JOB = StandingJob(JobId("5c0e7a21d94b36f8"), POOL, (TASK,))


def count_standstills(
    used_millicores: int, *, capacity: Resources = CAPACITY, excused_s: float = -1.0
) -> int:
    """Return how many jobs stood still in 4 s on a worker used so far."""
    check = StandstillCheck()
    room = WorkerRoom(POOL, capacity, Resources(used_millicores, 0, 0))
    for second in range(5):
        is_excused_now = second == excused_s
        check.observe(float(second), [JOB], [room], is_excused=is_excused_now)
    check.close()
    return len(check.found)


def test_job_counts_only_with_room_for_it_twice_in_a_pool_half_free() -> None:
    assert count_standstills(0) == 1
    assert count_standstills(3900) == 1
    assert count_standstills(4000) == 0
    assert count_standstills(0, capacity=Resources(1900, 16000, 0)) == 0
    assert count_standstills(0, capacity=Resources(2000, 16000, 0)) == 1


def test_time_under_an_excused_fault_does_not_count() -> None:
    assert count_standstills(0, excused_s=2.0) == 0


def test_only_faults_that_meet_all_daemons_excuse() -> None:
    out = Fault(Service.STORE, FaultKind.REFUSE, 10.0, 2.0)
    assert [is_excused(each, [out]) for each in (9.9, 10.0, 15.9, 16.0)] == [
        False,
        True,
        True,
        False,
    ]
    only_one = frozenset({EntryVmId("entry-0")})
    for fault in (
        Fault(Service.STORE, FaultKind.REFUSE, 0.0, 20.0, daemons=only_one),
        Fault(Service.STORE, FaultKind.SLOW, 0.0, 20.0),
        Fault(Service.VMS, FaultKind.REFUSE, 0.0, 20.0),
        Fault(Service.WORKERS, FaultKind.STALL, 0.0, 20.0),
    ):
        assert not is_excused(15.0, [fault])

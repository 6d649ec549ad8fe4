"""A small fleet and a dispatcher for it, for tests of the request path."""

from __future__ import annotations

import random

from currantstage.coordination.limits import UsageTracker, WeightedMaxMin
from currantstage.coordination.membership import Configuration
from currantstage.coordination.requests import (
    Dispatcher,
    FaultTracker,
    LeastLoaded,
    OutlierDetector,
    RunTimeEstimates,
    ServerHealth,
    Submission,
    Topology,
    WorkerCapacity,
    digest_secret,
)
from currantstage.state import (
    DataCentreId,
    Fleet,
    Generation,
    Key,
    KeyId,
    Pool,
    PoolId,
    Queue,
    QueueId,
    RackId,
    RequestId,
    Team,
    TeamId,
    Vm,
    VmId,
)
from tests.local_limits import LocalTeamLimiter, LocalWorkerSlots

#: Longer than any test runs.
LONG_LEASE_S = 1e6
QUEUE = QueueId("q")
POOL = PoolId("p")


def make_fleet(
    *, workers=2, slots=2, limits=None, max_waiting=256, generation=1, withdrawn=()
):
    """Return a fleet of one pool and one keyed queue.

    `limits` maps teams to upper limits, and `withdrawn` holds teams without a key.
    """
    limits = {"north": 100} if limits is None else limits
    vms = [
        Vm(
            vm_id=VmId(f"w{number}"),
            pool=POOL,
            rack=RackId(f"r{number % 2}"),
            address="127.0.0.1:1",
            slots=slots,
        )
        for number in range(workers)
    ]
    queue = Queue(
        queue_id=QUEUE, pools=(POOL,), max_waiting=max_waiting, timeout_ms=10_000
    )
    return Fleet(
        generation=Generation(generation),
        pools={POOL: Pool(pool_id=POOL, data_centre=DataCentreId("a"))},
        vms={vm.vm_id: vm for vm in vms},
        teams={
            TeamId(team): Team(
                team_id=TeamId(team), share=1.0, upper_limit_slots=upper_limit
            )
            for team, upper_limit in limits.items()
        },
        keys={
            KeyId(team): Key(
                key_id=KeyId(team),
                team=TeamId(team),
                salt="s",
                digest=digest_secret("s", "secret"),
            )
            for team in limits
            if team not in withdrawn
        },
        queues={QUEUE: queue},
    )


def renew_lease(configuration, now_s, lease_s=LONG_LEASE_S):
    """Renew the lease of `configuration`, so that it may serve keyed requests."""
    renewal = configuration.lease.start_renewal(now_s, lease_s)
    configuration.lease.confirm(renewal.number)


class FakeRequestPath:
    """The request path in the coordination layer, with the limits of one entry VM."""

    def __init__(self, fleet: Fleet) -> None:
        self.configuration = Configuration()
        self.configuration.apply(fleet)
        renew_lease(self.configuration, 0.0)
        self.health = ServerHealth()
        self.outliers = OutlierDetector()
        self.estimates = RunTimeEstimates()
        topology = Topology(self.configuration, DataCentreId("a"))
        self.tracker = FaultTracker(
            topology, self.health, self.outliers, self.estimates
        )
        self.limiter = LocalTeamLimiter(self.configuration)
        self.slots = LocalWorkerSlots(self.configuration)
        self.dispatcher = Dispatcher(
            topology,
            self.limiter,
            WeightedMaxMin(),
            UsageTracker(),
            LeastLoaded(random.Random(3)),
            WorkerCapacity(
                topology,
                self.slots,
                self.health,
                self.outliers,
            ),
            self.estimates,
        )

    def submit(self, name, team="north", now_s=0.0, **options):
        """Submit one request and return the effects."""
        submission = Submission(QUEUE, f"{team}.secret", **options)
        return self.dispatcher.submit(RequestId(name), submission, now_s)

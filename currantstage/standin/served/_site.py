"""Pools, queues, teams and VMs of the served platform."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

import msgspec

from currantstage.platform.messages import (
    WireConfiguration,
    WireRoute,
    WireService,
    WireTenant,
)
from currantstage.state import DataCentreId, PoolId, TeamId
from currantstage.state.jobs import BornMs, Resources, WorkerEntry, WorkerId

if TYPE_CHECKING:
    from collections.abc import Iterator

POOLS = (PoolId("parcels"), PoolId("letters"))
SPARE_POOL = PoolId("spare")
TEAMS = (TeamId("east"), TeamId("west"), TeamId("north"))
HOST = "jobs.example"
VM_CAPACITY = Resources(8000, 16384, 0)
#: VMs that share a rack.
VMS_PER_RACK = 4
DATA_CENTRES = tuple(DataCentreId(f"dc-{number}") for number in range(3))
#: Attempts of a task after which its job fails.
MAX_ATTEMPTS = 3
#: Timeout of a call, in milliseconds.
CALL_TIMEOUT_MS = 3000


@dataclass(frozen=True, slots=True)
class SiteSize:
    """Number of daemons, of VMs in each pool, and of spare VMs."""

    daemons: int = 3
    vms_per_pool: int = 8
    spare_vms: int = 2


def path_prefix(pool: PoolId) -> str:
    """Return the path prefix of the queue that a pool serves."""
    return f"/{pool}/"


def team_key(team: TeamId) -> str:
    """Return the key that a team's callers present."""
    return f"key-{team}"


def encode_configuration() -> bytes:
    """Return the operators' configuration: a queue for each pool, and the teams."""
    configuration = WireConfiguration(
        version=1,
        routes=[
            WireRoute(
                name=f"q-{pool}",
                host=HOST,
                path_prefix=path_prefix(pool),
                service=pool,
                timeout_ms=CALL_TIMEOUT_MS,
                max_attempts=MAX_ATTEMPTS,
                stretch=1.6,
                target_latency_ms=600,
            )
            for pool in POOLS
        ],
        services=[
            *(WireService(name=pool) for pool in POOLS),
            WireService(name=SPARE_POOL, spare=True),
        ],
        tenants=[WireTenant(name=team, api_keys=[team_key(team)]) for team in TEAMS],
    )
    return msgspec.json.encode(configuration)


def build_entries(size: SiteSize, addresses: list[str]) -> Iterator[WorkerEntry]:
    """Return the entry of the first worker of each VM; `addresses` are the VMs'."""
    pools = [pool for pool in POOLS for _ in range(size.vms_per_pool)]
    pools += [SPARE_POOL] * size.spare_vms
    for number, (pool, address) in enumerate(zip(pools, addresses, strict=True)):
        yield WorkerEntry(
            worker=WorkerId(f"i-{pool}-{number}"),
            pool=pool,
            address=address,
            data_centre=DATA_CENTRES[number % len(DATA_CENTRES)],
            is_draining=False,
            capacity=VM_CAPACITY,
            labels=("a", f"rack-{number // VMS_PER_RACK}"),
            born_ms=BornMs(0),
        )

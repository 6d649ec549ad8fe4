"""Decoding of rows and bodies that operators, workers and callers write."""

from __future__ import annotations

from ipaddress import AddressValueError, IPv4Address
from typing import Annotated, TypeVar

from msgspec import Meta, Struct, field

from currantstage.errors import CurrantstageError
from currantstage.protocol import DecodeError
from currantstage.protocol.jobs import JobBody, check_job
from currantstage.state import DataCentreId, PoolId, QueueId, TeamId
from currantstage.state.jobs import (
    AdvicePolicy,
    BornMs,
    ConfigurationVersion,
    FleetConfiguration,
    JobPool,
    JobQueue,
    JobTeam,
    MaintenanceWave,
    Resources,
    Schedule,
    Step,
    WorkerEntry,
    WorkerId,
)
from currantstage.util import UndecodableError, decode_json, is_header_text

_WireT = TypeVar("_WireT")


class DecodingError(CurrantstageError):
    """Bytes that don't have the expected format."""


#: Bounds of what a message may contain. Far above what occurs, and so low that sums of
#: many such numbers can be stored and sent.
MAX_AMOUNT = 2**31 - 1
MAX_NUMBER = 2**53
MAX_PORT = 65_535

#: Amount of a resource, number of things, or duration in milliseconds.
Amount = Annotated[int, Meta(ge=0, le=MAX_AMOUNT)]
#: Version, Unix time in milliseconds, or another counter.
Number = Annotated[int, Meta(ge=0, le=MAX_NUMBER)]


class WireResources(Struct, rename="pascal"):
    """Amount of millicores, megabytes of memory and accelerators."""

    cpu: Amount = 0
    mem_mb: Amount = 0
    gpu: Amount = 0

    def decoded(self) -> Resources:
        """Convert to `Resources`."""
        return Resources(self.cpu, self.mem_mb, self.gpu)


class WireAdvice(Struct, rename="pascal"):
    decide_ms: Amount = 0
    interval_ms: Amount = 0
    valid_ms: Amount = 3000


class WireRoute(Struct, rename="pascal"):
    """Queue; `target_latency_ms` is the slack of its objective, not a latency."""

    name: str
    host: str
    path_prefix: str
    service: str
    timeout_ms: Amount = 3000
    priority: Amount = 0
    max_attempts: Amount = 1
    stretch: float = 1.0
    target_latency_ms: Amount = 0
    public: bool = False
    advice: WireAdvice | None = None


class WireService(Struct, rename="pascal"):
    name: str
    admission_check: bool = False
    spare: bool = False


class WireTenant(Struct, rename="pascal"):
    name: str
    api_keys: list[str] = field(default_factory=list)
    weight: float = 0.0
    cap: WireResources = field(default_factory=WireResources)


class WireLimits(Struct, rename="pascal"):
    max_body_bytes: Amount = 262_144


class WireConfiguration(Struct, rename="pascal"):
    version: Number
    routes: list[WireRoute] = field(default_factory=list)
    services: list[WireService] = field(default_factory=list)
    tenants: list[WireTenant] = field(default_factory=list)
    limits: WireLimits = field(default_factory=WireLimits)


class WireWave(Struct, rename="pascal"):
    wave: Amount
    machines: list[str]
    complete_by_s: float = 60.0
    cap: Amount = 1


class WireWorkerEntry(Struct, rename="pascal"):
    service: str
    address: str
    state: str
    capacity: WireResources
    labels: list[str]
    zone: str = ""
    remaining_ms: Amount = 0
    born: Number = field(name="born", default=0)


class WireStep(Struct, rename="pascal"):
    """Step; `needs` is a single label, `anti_affinity` the maximum tasks per worker."""

    count: int = 1
    cpu: int = 0
    mem_mb: int = 0
    gpu: int = 0
    est_runtime_ms: int = 0
    after: list[int] = field(default_factory=list)
    checkpointing: bool = False
    gang: bool = False
    same_rack: bool = False
    needs: str = ""
    affinity: str = ""
    anti_affinity: int = 0
    speculative: bool = False
    long_running: bool = False
    image: str = ""
    target_ms: int = 0
    fills: bool = False
    may_miss: int = 0

    def decoded(self) -> Step:
        """Convert to `Step`."""
        return Step(
            task_count=self.count,
            resources=Resources(self.cpu, self.mem_mb, self.gpu),
            estimated_run_ms=self.est_runtime_ms,
            after=tuple(self.after),
            is_checkpointing=self.checkpointing,
            is_gang=self.gang,
            is_speculative=self.speculative,
            is_long_running=self.long_running,
            same_rack=self.same_rack,
            needed_label=self.needs,
            preferred_rack=self.affinity,
            max_per_worker=self.anti_affinity,
            image=self.image,
            target_latency_ms=self.target_ms,
            is_filler=self.fills,
            max_unavailable=self.may_miss,
        )


class WireJob(Struct, rename="pascal"):
    spec: str = ""
    steps: list[WireStep] = field(default_factory=list)
    repeat_count: int = 0
    start_at_ms: int = 0
    period_ms: int = 0


def decode_configuration(value: bytes) -> FleetConfiguration:
    """Decode the operators' configuration; raises `DecodingError`."""
    wire = _decode(value, WireConfiguration)
    return FleetConfiguration(
        version=ConfigurationVersion(wire.version),
        queues=tuple(map(_decode_queue, wire.routes)),
        pools=tuple(
            JobPool(
                pool=PoolId(each.name),
                is_spare=each.spare,
                guards_capacity=each.admission_check,
            )
            for each in wire.services
        ),
        teams=tuple(
            JobTeam(
                team=TeamId(each.name),
                keys=tuple(each.api_keys),
                share=each.weight,
                upper_limit=each.cap.decoded(),
            )
            for each in wire.tenants
        ),
        max_body_bytes=wire.limits.max_body_bytes,
    )


def _decode_queue(route: WireRoute) -> JobQueue:
    advice = route.advice
    return JobQueue(
        queue=QueueId(route.name),
        host=route.host.lower(),
        path_prefix=route.path_prefix,
        pool=PoolId(route.service),
        priority=route.priority,
        max_attempts=route.max_attempts,
        stretch=route.stretch,
        slack_ms=route.target_latency_ms,
        timeout_ms=route.timeout_ms,
        is_public=route.public,
        advice=AdvicePolicy(
            decide_ms=advice.decide_ms,
            per_worker_ms=advice.interval_ms,
            valid_ms=advice.valid_ms,
        )
        if advice
        else None,
    )


def decode_wave(value: bytes) -> MaintenanceWave:
    """Decode a maintenance wave; raises `DecodingError`."""
    wire = _decode(value, WireWave)
    return MaintenanceWave(
        number=wire.wave,
        vms=tuple(wire.machines),
        complete_by_s=wire.complete_by_s,
        max_down=wire.cap,
    )


def decode_worker(key: str, value: bytes) -> WorkerEntry:
    """Decode a worker's entry; raises `DecodingError` if it names no usable worker."""
    if not is_header_text(key):
        raise DecodingError(f"worker id can't be sent in a header: {key!r}")
    wire = _decode(value, WireWorkerEntry)
    if wire.state not in ("ready", "draining"):
        raise DecodingError(f"unknown worker state {wire.state!r}")
    if not wire.labels:
        raise DecodingError("worker entry has no label")
    _check_address(wire.address)
    return WorkerEntry(
        worker=WorkerId(key),
        pool=PoolId(wire.service),
        address=wire.address,
        data_centre=DataCentreId(wire.zone),
        is_draining=wire.state == "draining",
        capacity=wire.capacity.decoded(),
        labels=tuple(wire.labels),
        born_ms=BornMs(wire.born),
        remaining_ms=wire.remaining_ms,
    )


def _check_address(address: str) -> None:
    """Check that an address is ``IP:port``; raises `DecodingError`."""
    host, _, port = address.rpartition(":")
    try:
        IPv4Address(host)
    except AddressValueError as error:
        raise DecodingError(f"no IP address: {error}") from error
    is_number = port.isascii() and port.isdigit() and len(port) <= len(str(MAX_PORT))
    if not is_number or not 0 < int(port) <= MAX_PORT:
        raise DecodingError(f"no port: {port!r}")


def decode_job(body: bytes) -> JobBody:
    """Decode the body of a submission; raises `DecodingError`."""
    wire = _decode(body, WireJob)
    schedule = None
    if wire.repeat_count > 0:
        schedule = Schedule(
            count=wire.repeat_count,
            start_unix_ms=wire.start_at_ms,
            period_ms=wire.period_ms,
        )
    job = JobBody(wire.spec, tuple(each.decoded() for each in wire.steps), schedule)
    try:
        check_job(job)
    except DecodeError as error:
        raise DecodingError(str(error)) from error
    return job


def _decode(value: bytes, wire_type: type[_WireT]) -> _WireT:
    try:
        return decode_json(value, wire_type)
    except UndecodableError as error:
        raise DecodingError(str(error)) from error

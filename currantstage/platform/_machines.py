"""Client of the platform's service for VMs, which it calls machines."""

from __future__ import annotations

from typing import TYPE_CHECKING
from urllib.parse import urlencode

from eliot import log_message
from msgspec import Raw, Struct, field

from currantstage.platform._decoding import WireResources
from currantstage.platform._http import (
    CallFailure,
    HttpReply,
    PlatformHttp,
    read_reason,
)
from currantstage.state import DataCentreId, PoolId, VmId
from currantstage.state.jobs import (
    StoreUnavailable,
    VmCondition,
    VmOrderOutcome,
    VmRecord,
    WorkerId,
)
from currantstage.util import UndecodableError, decode_json

if TYPE_CHECKING:
    from currantstage.state import EntryVmId
    from currantstage.state.jobs import Term

#: Timeout of a call to the service, in seconds.
CALL_TIMEOUT_S = 1.5
#: Header with the fencing token of an order.
TERM_HEADER = "X-Currantstage-Fencing-Token"

ORDER_REASONS = {
    "fence": VmOrderOutcome.FENCED,
    "busy": VmOrderOutcome.BUSY,
    "wave": VmOrderOutcome.NOT_IN_WAVE,
}


class WireMachine(Struct, rename="pascal"):
    """VM; `id` is the id of the worker on it, empty if there is none."""

    machine: str
    pool: str
    state: str
    zone: str = ""
    labels: list[str] = field(default_factory=list)
    capacity: WireResources = field(default_factory=WireResources)
    id: str | None = ""

    def decoded(self) -> VmRecord:
        """Convert to `VmRecord`."""
        return VmRecord(
            vm=VmId(self.machine),
            pool=PoolId(self.pool),
            condition=VmCondition(self.state),
            data_centre=DataCentreId(self.zone),
            labels=tuple(self.labels),
            capacity=self.capacity.decoded(),
            worker=WorkerId(self.id or ""),
        )


class WireMachines(Struct, rename="pascal"):
    machines: list[Raw]
    next_token: str | None = None


class WireMove(Struct, rename="pascal"):
    machine: str
    pool: str


class WireUpkeep(Struct, rename="pascal"):
    machine: str
    wave: int


class MachineClient:
    """Lists VMs and sends orders for them; implements `VmOrders`.

    Parameters
    ----------
    http : PlatformHttp
    address : str
        ``IP:port`` of the platform's service for VMs.
    holder : EntryVmId
        Sent with each order as the holder of the fencing token.
    """

    def __init__(self, http: PlatformHttp, address: str, holder: EntryVmId) -> None:
        self._http = http
        self._base = f"http://{address}/currantstage"
        self._holder = holder

    async def list(self) -> tuple[VmRecord, ...]:
        """Return all VMs; raises `StoreUnavailable`."""
        records: list[VmRecord] = []
        token: str | None = None
        while True:
            query = f"?{urlencode({'PageToken': token})}" if token else ""
            reply = await self._http.call(
                "GET", f"{self._base}/machines{query}", CALL_TIMEOUT_S
            )
            if isinstance(reply, CallFailure) or reply.status != 200:
                raise StoreUnavailable(f"list of VMs: {reply}", is_in_doubt=False)
            try:
                page = decode_json(reply.body, WireMachines)
            except UndecodableError as error:
                raise StoreUnavailable(str(error), is_in_doubt=False) from error
            for row in page.machines:
                records.extend(_decode_row(row))
            token = page.next_token
            if not token:
                return tuple(records)

    async def move(self, vm: VmId, pool: PoolId, term: Term) -> VmOrderOutcome:
        """Move a VM to another pool; all runs on it end."""
        return await self._order("machine-move", WireMove(vm, pool), term)

    async def maintain(self, vm: VmId, wave: int, term: Term) -> VmOrderOutcome:
        """Take a VM down for maintenance; all runs on it end."""
        return await self._order("machine-upkeep", WireUpkeep(vm, wave), term)

    async def _order(
        self, call: str, body: WireMove | WireUpkeep, term: Term
    ) -> VmOrderOutcome:
        reply = await self._http.call(
            "POST",
            f"{self._base}/{call}",
            CALL_TIMEOUT_S,
            body=body,
            headers={
                "X-Currantstage-Lease-Holder": self._holder,
                TERM_HEADER: str(term),
            },
        )
        return _outcome(reply)


def _decode_row(row: Raw) -> list[VmRecord]:
    """Decode the entry of one VM; return nothing if it is malformed."""
    try:
        return [decode_json(bytes(row), WireMachine).decoded()]
    except (UndecodableError, ValueError) as error:
        log_message("currantstage:vm-entry-malformed", reason=str(error))
        return []


def _outcome(reply: HttpReply | CallFailure) -> VmOrderOutcome:
    if isinstance(reply, CallFailure):
        return VmOrderOutcome.UNAVAILABLE
    if reply.status == 200:
        return VmOrderOutcome.DONE
    if reply.status == 400:
        return VmOrderOutcome.MALFORMED
    if reply.status == 409:
        return ORDER_REASONS.get(read_reason(reply), VmOrderOutcome.UNAVAILABLE)
    return VmOrderOutcome.UNAVAILABLE

"""Take and settle claims on idempotency keys, as claimant and as owner."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING, TypeAlias

from returns.result import Failure, Result, Success

from currantstage.coordination.claims import (
    AcknowledgeSettlement,
    AnswerClaim,
    ClaimDecision,
    ClaimLog,
    ClaimRecorder,
    ClaimRequester,
    ClaimRequesterEffect,
    ClaimResolved,
    ClaimState,
    RecorderEffect,
    SendClaimRequest,
    SendSettlement,
    claim_digest,
    content_fingerprint,
    parse_idempotency_key,
    refresh_owners,
    request_end_of,
    settlement_of,
)
from currantstage.coordination.requests import Refusal, RefusalReason
from currantstage.protocol import (
    ClaimReply,
    ClaimRequest,
    ClaimSettled,
    ClaimSettledAck,
    PeerFrame,
    PeerMessage,
)
from currantstage.state import ClaimOwner, ClaimTaken, RequestId
from currantstage.util import DutyLoop

if TYPE_CHECKING:
    from collections.abc import Iterable

    from currantstage.application._peer_service import PeerService
    from currantstage.application._procedure_runner import ProcedureRunner
    from currantstage.coordination.requests import RequestEnd
    from currantstage.coordination.store import StoreAccess
    from currantstage.protocol import CallerRequest
    from currantstage.state import Clock, EntryVmId, PeerLink, Random, TeamId

#: How often the owners of the buckets are read, in seconds.
OWNERS_REFRESH_S = 2.0
#: How often expired claims are forgotten and deleted, in seconds.
CLEAN_S = 30.0
#: Pause between two looks at what has to be repeated, in seconds.
TICK_S = 0.05
_REQUEST_ID_BITS = 96

SendEffect: TypeAlias = (
    AnswerClaim | AcknowledgeSettlement | SendClaimRequest | SendSettlement
)


class ClaimService:
    """Takes claims for this entry VM's requests and records those of its buckets.

    Parameters
    ----------
    own : ClaimOwner
        This start of this entry VM.
    runner : ProcedureRunner
    store : StoreAccess
    peers : PeerService
    link : PeerLink
    clock : Clock
        Monotonic.
    unix_clock : Clock
        Time of day, compared with the age of keys within `MAX_CLOCK_SKEW_S`.
    random : Random
    """

    def __init__(
        self,
        own: ClaimOwner,
        runner: ProcedureRunner,
        store: StoreAccess,
        peers: PeerService,
        link: PeerLink,
        clock: Clock,
        unix_clock: Clock,
        random: Random,
    ) -> None:
        self._own = own
        self._runner = runner
        self._store = store
        self._peers = peers
        self._link = link
        self._clock = clock
        self._unix_clock = unix_clock
        self._random = random
        self._log = ClaimLog(store, own)
        self._recorder = ClaimRecorder(self._log, own)
        self._requester = ClaimRequester()
        self._live = frozenset({own})
        self._waiting: dict[RequestId, asyncio.Future[ClaimDecision]] = {}
        self._tick: asyncio.TimerHandle | None = None
        self._refresh = DutyLoop("claim-owners", self._refresh_owners, OWNERS_REFRESH_S)
        self._record = DutyLoop("claim-record", self._record_batches, OWNERS_REFRESH_S)
        self._clean = DutyLoop("claim-clean", self._clean_log, CLEAN_S)

    async def start(self) -> None:
        """Hear peers' messages and take this entry VM's buckets."""
        self._peers.handle(ClaimRequest, self._hear)
        self._peers.handle(ClaimReply, self._hear)
        self._peers.handle(ClaimSettled, self._hear)
        self._peers.handle(ClaimSettledAck, self._hear)
        for loop in (self._refresh, self._record, self._clean):
            await loop.start()

    async def close(self) -> None:
        """Stop repeating and recording."""
        if self._tick is not None:
            self._tick.cancel()
        for loop in (self._clean, self._record, self._refresh):
            await loop.close()

    async def take(
        self, request: CallerRequest, team: TeamId, key_text: str
    ) -> Result[ClaimTaken, RequestEnd]:
        """Return the claim under which `request` may run once.

        Parameters
        ----------
        request : CallerRequest
        team : TeamId
            Whose key came with the request, or `NO_TEAM`.
        key_text : str
            The idempotency key as the caller sent it.

        Returns
        -------
        Result of ClaimTaken or RequestEnd
            The end is the first run's answer, or why the request is not run.
        """
        parsed = parse_idempotency_key(key_text, self._unix_clock.now_s())
        if isinstance(parsed, Failure):
            return parsed
        key = parsed.unwrap()
        claim = ClaimTaken(
            digest=claim_digest(team, request.queue, key),
            fingerprint=content_fingerprint(request.content_type, request.body),
            holder=self._own,
            request_id=RequestId(f"{self._random.getrandbits(_REQUEST_ID_BITS):024x}"),
            expires_at_s=key.expires_at_s,
        )
        end = request_end_of(await self._ask(claim))
        return Success(claim) if end is None else Failure(end)

    def settle(self, claim: ClaimTaken, end: RequestEnd) -> None:
        """Tell the claim's owner what became of its request."""
        settlement = settlement_of(claim, end)
        self._perform(
            self._requester.settle(
                settlement, self._recorder.owners, self._clock.now_s()
            )
        )

    async def _ask(self, claim: ClaimTaken) -> ClaimDecision:
        future = asyncio.get_running_loop().create_future()
        self._waiting[claim.request_id] = future
        now_s = self._clock.now_s()
        try:
            self._perform(
                self._requester.request_claim(claim, self._recorder.owners, now_s)
            )
            decision: ClaimDecision = await future
        except asyncio.CancelledError:
            self._cancel(claim)
            raise
        finally:
            del self._waiting[claim.request_id]
        return decision

    def _cancel(self, claim: ClaimTaken) -> None:
        owners, now_s = self._recorder.owners, self._clock.now_s()
        self._perform(self._requester.cancel_request(claim.request_id, owners, now_s))

    def _perform(
        self, effects: Iterable[ClaimRequesterEffect | RecorderEffect]
    ) -> None:
        for effect in effects:
            if isinstance(effect, ClaimResolved):
                future = self._waiting.get(effect.claim.request_id)
                if future is not None and not future.done():
                    future.set_result(effect.decision)
                elif effect.decision.state is ClaimState.GRANTED:
                    # The caller left while the grant was on its way.
                    self.settle(effect.claim, Refusal(RefusalReason.CANCELLED))
            else:
                self._send(effect.receiver, _message_of(effect))
        self._schedule_tick()

    def _send(self, receiver: EntryVmId, message: PeerMessage) -> None:
        if receiver == self._own.entry_vm:
            loop = asyncio.get_running_loop()
            loop.call_soon(self._handle, receiver, message)
        else:
            self._peers.send(self._link, receiver, message)

    def _hear(self, frame: PeerFrame) -> None:
        self._handle(frame.sender, frame.message)

    def _handle(self, sender: EntryVmId, message: PeerMessage) -> None:
        now_s = self._clock.now_s()
        match message:
            case ClaimRequest(claim=claim):
                self._perform(self._recorder.request_claim(claim, self._live))
            case ClaimSettled(settlement=settlement):
                self._perform(self._recorder.settle(settlement, sender))
            case ClaimReply(claim=claim, state=state, answer=answer):
                decision = ClaimDecision(state, answer)
                owners = self._recorder.owners
                self._perform(
                    self._requester.handle_decision(claim, decision, owners, now_s)
                )
            case ClaimSettledAck(request_id=request_id):
                self._requester.acknowledge(request_id)
        if self._recorder.has_work:
            self._record.wake()

    async def _refresh_owners(self) -> None:
        others = frozenset(
            ClaimOwner(entry_vm=row.entry_vm, incarnation=row.incarnation)
            for row in self._peers.members.values()
        )
        self._live = others | {self._own}
        owners = await self._runner.run(refresh_owners(self._store, self._live))
        self._perform(self._recorder.update_owners(owners))
        self._record.wake()

    async def _record_batches(self) -> None:
        while self._recorder.has_work:
            if not self._recorder.is_loaded:
                await self._runner.run(self._recorder.load())
            self._perform(await self._runner.run(self._recorder.record()))
            if not self._recorder.is_loaded:
                # Somebody else may own the buckets by now.
                await self._refresh_owners()

    async def _clean_log(self) -> None:
        wall_s = self._unix_clock.now_s()
        self._recorder.expire(wall_s)
        cleans_all_logs = self._recorder.owners.cleans_all_logs(self._own)
        await self._runner.run(self._log.delete_expired(wall_s, others=cleans_all_logs))

    def _schedule_tick(self) -> None:
        if self._tick is None and not self._requester.is_idle:
            self._tick = asyncio.get_running_loop().call_later(TICK_S, self._run_tick)

    def _run_tick(self) -> None:
        self._tick = None
        self._perform(
            self._requester.tick(
                self._recorder.owners, self._clock.now_s(), self._unix_clock.now_s()
            )
        )


def _message_of(effect: SendEffect) -> PeerMessage:
    match effect:
        case AnswerClaim(claim, decision):
            return ClaimReply(claim=claim, state=decision.state, answer=decision.answer)
        case AcknowledgeSettlement(_, request_id):
            return ClaimSettledAck(request_id=request_id)
        case SendClaimRequest(_, claim):
            return ClaimRequest(claim=claim)
        case SendSettlement(_, settlement):
            return ClaimSettled(settlement=settlement)

"""Request, grant and settle claims on idempotency keys."""

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
from currantstage.util import PeriodicTask

if TYPE_CHECKING:
    from collections.abc import Iterable

    from currantstage.application._peer_service import PeerService
    from currantstage.application._procedure_runner import ProcedureRunner
    from currantstage.coordination.requests import RequestEnd
    from currantstage.coordination.store import StoreAccess
    from currantstage.protocol import CallerRequest
    from currantstage.state import Clock, EntryVmId, PeerLink, Random, TeamId

#: Interval between reads of the owners of the buckets, in seconds.
OWNERS_REFRESH_INTERVAL_S = 2.0
#: Interval between deletions of expired claims, in memory and in the log, in seconds.
CLAIM_CLEANUP_INTERVAL_S = 30.0
#: Interval between checks for messages that have to be resent, in seconds.
CLAIM_TICK_S = 0.05
_REQUEST_ID_BITS = 96

SendEffect: TypeAlias = (
    AnswerClaim | AcknowledgeSettlement | SendClaimRequest | SendSettlement
)


class ClaimService:
    """Requests claims for this entry VM's requests, and records those of its buckets.

    Parameters
    ----------
    own : ClaimOwner
        This incarnation of this entry VM.
    runner : ProcedureRunner
    store : StoreAccess
    peers : PeerService
    link : PeerLink
    clock : Clock
        Monotonic.
    unix_clock : Clock
        Time of day, for the age of keys, with a tolerance of `MAX_CLOCK_SKEW_S`.
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
        self._live_incarnations = frozenset({own})
        self._pending_decisions: dict[RequestId, asyncio.Future[ClaimDecision]] = {}
        self._tick_timer: asyncio.TimerHandle | None = None
        self._owners_task = PeriodicTask(
            "refresh-claim-owners", self._refresh_owners, OWNERS_REFRESH_INTERVAL_S
        )
        self._record_task = PeriodicTask(
            "record-claims", self._record_batches, OWNERS_REFRESH_INTERVAL_S
        )
        self._cleanup_task = PeriodicTask(
            "delete-expired-claims",
            self._delete_expired_claims,
            CLAIM_CLEANUP_INTERVAL_S,
        )

    async def start(self) -> None:
        """Accept peers' messages, and take ownership of this entry VM's buckets."""
        self._peers.register_handler(ClaimRequest, self._handle_frame)
        self._peers.register_handler(ClaimReply, self._handle_frame)
        self._peers.register_handler(ClaimSettled, self._handle_frame)
        self._peers.register_handler(ClaimSettledAck, self._handle_frame)
        for task in (self._owners_task, self._record_task, self._cleanup_task):
            await task.start()

    async def close(self) -> None:
        """Stop resending and recording."""
        if self._tick_timer is not None:
            self._tick_timer.cancel()
        for task in (self._cleanup_task, self._record_task, self._owners_task):
            await task.close()

    async def take(
        self, request: CallerRequest, team: TeamId, key_text: str
    ) -> Result[ClaimTaken, RequestEnd]:
        """Return the claim under which `request` may run once.

        Parameters
        ----------
        request : CallerRequest
        team : TeamId
            The team whose key came with the request, or `NO_TEAM`.
        key_text : str
            The idempotency key as the caller sent it.

        Returns
        -------
        Result of ClaimTaken or RequestEnd
            The claim, or else the answer of the first run or why the request is not
            run.
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
        end = request_end_of(await self._request_claim(claim))
        return Success(claim) if end is None else Failure(end)

    def settle(self, claim: ClaimTaken, end: RequestEnd) -> None:
        """Report the end of the request to the owner of the claim."""
        settlement = settlement_of(claim, end)
        self._perform(
            self._requester.settle(
                settlement, self._recorder.owners, self._clock.now_s()
            )
        )

    async def _request_claim(self, claim: ClaimTaken) -> ClaimDecision:
        future = asyncio.get_running_loop().create_future()
        self._pending_decisions[claim.request_id] = future
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
            del self._pending_decisions[claim.request_id]
        return decision

    def _cancel(self, claim: ClaimTaken) -> None:
        owners, now_s = self._recorder.owners, self._clock.now_s()
        self._perform(self._requester.cancel_request(claim.request_id, owners, now_s))

    def _perform(
        self, effects: Iterable[ClaimRequesterEffect | RecorderEffect]
    ) -> None:
        for effect in effects:
            if isinstance(effect, ClaimResolved):
                future = self._pending_decisions.get(effect.claim.request_id)
                if future is not None and not future.done():
                    future.set_result(effect.decision)
                elif effect.decision.state is ClaimState.GRANTED:
                    # The caller disconnected before the grant arrived.
                    self.settle(effect.claim, Refusal(RefusalReason.CANCELLED))
            else:
                self._send(effect.receiver, _to_message(effect))
        self._schedule_tick()

    def _send(self, receiver: EntryVmId, message: PeerMessage) -> None:
        if receiver == self._own.entry_vm:
            loop = asyncio.get_running_loop()
            loop.call_soon(self._handle_message, receiver, message)
        else:
            self._peers.send(self._link, receiver, message)

    def _handle_frame(self, frame: PeerFrame) -> None:
        self._handle_message(frame.sender, frame.message)

    def _handle_message(self, sender: EntryVmId, message: PeerMessage) -> None:
        now_s = self._clock.now_s()
        match message:
            case ClaimRequest(claim=claim):
                self._perform(
                    self._recorder.request_claim(claim, self._live_incarnations)
                )
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
            self._record_task.wake()

    async def _refresh_owners(self) -> None:
        others = frozenset(
            ClaimOwner(entry_vm=row.entry_vm, incarnation=row.incarnation)
            for row in self._peers.members.values()
        )
        self._live_incarnations = others | {self._own}
        owners = await self._runner.run(
            refresh_owners(self._store, self._live_incarnations)
        )
        self._perform(self._recorder.update_owners(owners))
        self._record_task.wake()

    async def _record_batches(self) -> None:
        while self._recorder.has_work:
            if not self._recorder.is_loaded:
                await self._runner.run(self._recorder.load())
            self._perform(await self._runner.run(self._recorder.record()))
            if not self._recorder.is_loaded:
                # Another entry VM may own the buckets by now.
                await self._refresh_owners()

    async def _delete_expired_claims(self) -> None:
        unix_s = self._unix_clock.now_s()
        self._recorder.expire(unix_s)
        cleans_all_logs = self._recorder.owners.cleans_all_logs(self._own)
        await self._runner.run(self._log.delete_expired(unix_s, others=cleans_all_logs))

    def _schedule_tick(self) -> None:
        if self._tick_timer is None and not self._requester.is_idle:
            self._tick_timer = asyncio.get_running_loop().call_later(
                CLAIM_TICK_S, self._run_tick
            )

    def _run_tick(self) -> None:
        self._tick_timer = None
        self._perform(
            self._requester.tick(
                self._recorder.owners, self._clock.now_s(), self._unix_clock.now_s()
            )
        )


def _to_message(effect: SendEffect) -> PeerMessage:
    match effect:
        case AnswerClaim(claim, decision):
            return ClaimReply(claim=claim, state=decision.state, answer=decision.answer)
        case AcknowledgeSettlement(_, request_id):
            return ClaimSettledAck(request_id=request_id)
        case SendClaimRequest(_, claim):
            return ClaimRequest(claim=claim)
        case SendSettlement(_, settlement):
            return ClaimSettled(settlement=settlement)

"""Rows that record which idempotency keys were used, and who records them."""

from __future__ import annotations

from typing import NewType, TypeAlias

from msgspec import Struct

from currantstage.state._ids import EntryVmId, IncarnationId, RequestId, RowKey

#: Hash of team, queue and idempotency key; what a claim is found by.
ClaimDigest = NewType("ClaimDigest", str)
#: One part of the space of claim digests; each has one owner.
BucketId = NewType("BucketId", int)

CLAIM_OWNERS_KEY = RowKey("claim-owners")
CLAIM_LOG_PREFIX = RowKey("claim-log/")


class ClaimOwner(Struct, frozen=True, kw_only=True, order=True):
    """One start of an entry VM that records the claims of some buckets."""

    entry_vm: EntryVmId
    incarnation: IncarnationId


class ClaimOwnersRow(Struct, frozen=True, kw_only=True, tag="claim-owners"):
    """The owner of each bucket; every write to a log depends on its version.

    Parameters
    ----------
    owners : tuple of ClaimOwner
        Owner by bucket.
    """

    owners: tuple[ClaimOwner, ...]


class ClaimTaken(Struct, frozen=True, kw_only=True, tag="taken"):
    """A request took a claim and may run once.

    Parameters
    ----------
    digest : ClaimDigest
    fingerprint : str
        Hash of the request's content: tells a repeat from another request that
        reuses the key.
    holder : ClaimOwner
        The start of the entry VM that runs the request.
    request_id : RequestId
    expires_at_s : float
        Seconds since the epoch at which the claim is forgotten.
    """

    digest: ClaimDigest
    fingerprint: str
    holder: ClaimOwner
    request_id: RequestId
    expires_at_s: float


class KeptAnswer(Struct, frozen=True, kw_only=True):
    """A backend server's answer, kept for repeats of the request."""

    status: int
    content_type: str
    body: bytes


class ClaimCompleted(Struct, frozen=True, kw_only=True, tag="completed"):
    """The request ended with an answer; None when that is too long to keep."""

    digest: ClaimDigest
    request_id: RequestId
    answer: KeptAnswer | None


class ClaimUncertain(Struct, frozen=True, kw_only=True, tag="uncertain"):
    """The request reached a backend server and got no whole answer."""

    digest: ClaimDigest
    request_id: RequestId


class ClaimReleased(Struct, frozen=True, kw_only=True, tag="released"):
    """The request certainly did not run; a repeat may take the claim."""

    digest: ClaimDigest
    request_id: RequestId


ClaimSettlement: TypeAlias = ClaimCompleted | ClaimUncertain | ClaimReleased
ClaimEvent: TypeAlias = ClaimTaken | ClaimSettlement


class ClaimBatchRow(Struct, frozen=True, kw_only=True, tag="claim-batch"):
    """Events that an owner recorded together.

    Parameters
    ----------
    events : tuple of ClaimEvent
    expires_at_s : float
        Seconds since the epoch after which the whole row may be deleted.
    """

    events: tuple[ClaimEvent, ...]
    expires_at_s: float


def claim_log_prefix(owner: ClaimOwner) -> RowKey:
    """Return the prefix of the rows that `owner` writes."""
    return RowKey(f"{CLAIM_LOG_PREFIX}{owner.entry_vm}/{owner.incarnation}/")


def claim_batch_key(owner: ClaimOwner, sequence: int) -> RowKey:
    """Return the key of the batch that `owner` writes as number `sequence`."""
    return RowKey(f"{claim_log_prefix(owner)}{sequence:012d}")

"""Rows that record used idempotency keys and the owners of these records."""

from __future__ import annotations

from typing import NewType, TypeAlias

from msgspec import Struct

from currantstage.state._ids import EntryVmId, IncarnationId, RequestId, RowKey

#: Hash of team, queue and idempotency key; identifies a claim.
ClaimDigest = NewType("ClaimDigest", str)
#: A partition of the claim digests; each has one owner.
BucketId = NewType("BucketId", int)

CLAIM_OWNERS_KEY = RowKey("claim-owners")
CLAIM_LOG_PREFIX = RowKey("claim-log/")


class ClaimOwner(Struct, frozen=True, kw_only=True, order=True):
    """A process of an entry VM that records the claims of some buckets."""

    entry_vm: EntryVmId
    incarnation: IncarnationId


class ClaimOwnersRow(Struct, frozen=True, kw_only=True, tag="claim-owners"):
    """The owner of each bucket; every log write is conditional on its version.

    Parameters
    ----------
    owners : tuple of ClaimOwner
        Owner by bucket.
    """

    owners: tuple[ClaimOwner, ...]


class ClaimTaken(Struct, frozen=True, kw_only=True, tag="taken"):
    """A request acquired a claim and may run once.

    Parameters
    ----------
    digest : ClaimDigest
    fingerprint : str
        Hash of the request's content; distinguishes a retry from a different request
        that reuses the key.
    holder : ClaimOwner
        The process of the entry VM that runs the request.
    request_id : RequestId
    expires_at_s : float
        Unix time at which the claim expires, in seconds.
    """

    digest: ClaimDigest
    fingerprint: str
    holder: ClaimOwner
    request_id: RequestId
    expires_at_s: float


class StoredResponse(Struct, frozen=True, kw_only=True):
    """A backend server's response, stored to answer retries of the request."""

    status: int
    content_type: str
    body: bytes


class ClaimCompleted(Struct, frozen=True, kw_only=True, tag="completed"):
    """The request ended with an answer; None if that is too long to store."""

    digest: ClaimDigest
    request_id: RequestId
    answer: StoredResponse | None


class ClaimUncertain(Struct, frozen=True, kw_only=True, tag="uncertain"):
    """The request reached a backend server but got no complete answer."""

    digest: ClaimDigest
    request_id: RequestId


class ClaimReleased(Struct, frozen=True, kw_only=True, tag="released"):
    """The request certainly did not run; a retry may acquire the claim."""

    digest: ClaimDigest
    request_id: RequestId


ClaimSettlement: TypeAlias = ClaimCompleted | ClaimUncertain | ClaimReleased
ClaimEvent: TypeAlias = ClaimTaken | ClaimSettlement


class ClaimBatchRow(Struct, frozen=True, kw_only=True, tag="claim-batch"):
    """Events that an owner recorded in one write.

    Parameters
    ----------
    events : tuple of ClaimEvent
    expires_at_s : float
        Unix time after which the whole row may be deleted, in seconds.
    """

    events: tuple[ClaimEvent, ...]
    expires_at_s: float


def claim_log_prefix(owner: ClaimOwner) -> RowKey:
    """Return the prefix of the rows that `owner` writes."""
    return RowKey(f"{CLAIM_LOG_PREFIX}{owner.entry_vm}/{owner.incarnation}/")


def claim_batch_key(owner: ClaimOwner, sequence: int) -> RowKey:
    """Return the key of the batch of `owner` with number `sequence`."""
    return RowKey(f"{claim_log_prefix(owner)}{sequence:012d}")

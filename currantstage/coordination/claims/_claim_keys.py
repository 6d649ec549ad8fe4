"""Idempotency keys: their format, expiry and bucket."""

from __future__ import annotations

import hashlib
from dataclasses import dataclass
from typing import TYPE_CHECKING

from returns.result import Failure, Result, Success

from currantstage.coordination.requests._outcomes import Refusal, RefusalReason
from currantstage.state import BucketId, ClaimDigest

if TYPE_CHECKING:
    from currantstage.state import QueueId, TeamId

#: Time for which the first outcome under a key is kept, in seconds.
CLAIM_WINDOW_S = 600.0
#: Maximum difference between the clocks of callers and entry VMs, in seconds.
MAX_CLOCK_SKEW_S = 30.0
#: Maximum length of an idempotency key, in characters.
MAX_KEY_LENGTH = 128
#: Number of buckets that claim digests are divided into.
BUCKET_COUNT = 64

_FINGERPRINT_CHARACTERS = 16


@dataclass(frozen=True, slots=True)
class IdempotencyKey:
    """A caller's idempotency key, ``SECONDS-TEXT``.

    Parameters
    ----------
    text : str
        The complete key as sent by the caller.
    created_at_s : float
        Seconds since the epoch, by the caller's clock.
    """

    text: str
    created_at_s: float

    @property
    def expires_at_s(self) -> float:
        """When all entry VMs start to reject the key, in seconds since the epoch."""
        return self.created_at_s + CLAIM_WINDOW_S + 2 * MAX_CLOCK_SKEW_S


def parse_idempotency_key(text: str, wall_s: float) -> Result[IdempotencyKey, Refusal]:
    """Return the key in `text`, or the refusal of a request with it.

    Once the outcome under a key has been deleted, the key can't be distinguished from
    a new one. A key therefore contains its creation time, from which it expires.

    Parameters
    ----------
    text : str
    wall_s : float
        Seconds since the epoch.

    Examples
    --------
    >>> parse_idempotency_key("1000-order-7", 1010.0).unwrap().created_at_s
    1000.0
    >>> parse_idempotency_key("1000-order-7", 9000.0).failure().reason.value
    'idempotency-key-expired'
    """
    seconds, dash, rest = text.partition("-")
    is_number = seconds.isascii() and seconds.isdigit()
    if not (dash and rest and is_number and len(text) <= MAX_KEY_LENGTH):
        return Failure(Refusal(RefusalReason.IDEMPOTENCY_KEY_MALFORMED))
    key = IdempotencyKey(text, float(seconds))
    age_s = wall_s - key.created_at_s
    if age_s > CLAIM_WINDOW_S + MAX_CLOCK_SKEW_S:
        return Failure(Refusal(RefusalReason.IDEMPOTENCY_KEY_EXPIRED))
    if age_s < -MAX_CLOCK_SKEW_S:
        return Failure(Refusal(RefusalReason.IDEMPOTENCY_KEY_MALFORMED))
    return Success(key)


def claim_digest(team: TeamId, queue: QueueId, key: IdempotencyKey) -> ClaimDigest:
    """Return the digest that identifies a claim; it differs between teams."""
    parts = "\0".join((team, queue, key.text))
    return ClaimDigest(hashlib.sha256(parts.encode()).hexdigest()[:32])


def content_fingerprint(content_type: str, body: bytes) -> str:
    """Return a short hash of the content of a request."""
    digest = hashlib.sha256(content_type.encode() + b"\0" + body)
    return digest.hexdigest()[:_FINGERPRINT_CHARACTERS]


def bucket_of(digest: ClaimDigest) -> BucketId:
    """Return the bucket of a claim.

    >>> bucket_of(ClaimDigest("41" + "0" * 30))
    1
    """
    return BucketId(int(digest[:2], 16) % BUCKET_COUNT)

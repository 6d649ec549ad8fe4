"""Authentication: map API keys to teams."""

from __future__ import annotations

import hashlib
import hmac
from typing import TYPE_CHECKING

from returns.result import Failure, Result, Success

from currantstage.coordination.requests._outcomes import Refusal, RefusalReason
from currantstage.state import Key, KeyId, QueueAccess, TeamId

if TYPE_CHECKING:
    from currantstage.state import Fleet, Queue

#: Compared against for an unknown key, so that every refusal costs one comparison.
_NO_KEY = Key(key_id=KeyId(""), team=TeamId(""), salt="", digest="0" * 64)


def digest_secret(salt: str, secret: str) -> str:
    """Return the hexadecimal SHA-256 digest of salt and secret.

    >>> digest_secret("s", "secret")[:8]
    '2e2ad46e'
    """
    return hashlib.sha256(f"{salt}:{secret}".encode(errors="surrogatepass")).hexdigest()


def key_id_of(presented: str) -> KeyId:
    """Return the public part of ``key-id.secret``.

    >>> key_id_of("north-1.secret")
    'north-1'
    """
    return KeyId(presented.partition(".")[0])


def identify_team(
    fleet: Fleet, queue: Queue, presented: str | None
) -> Result[TeamId | None, Refusal]:
    """Return the team that a presented key authenticates.

    Parameters
    ----------
    fleet : Fleet
    queue : Queue
    presented : str or None
        ``key-id.secret`` as the caller sent it.

    Returns
    -------
    Result of TeamId or None, or Refusal
        None for an open queue if no valid key was presented. Unknown and withdrawn
        keys get the same refusal as wrong secrets.
    """
    key_id, _, secret = (presented or "").partition(".")
    key = fleet.keys.get(KeyId(key_id), _NO_KEY)
    is_valid = hmac.compare_digest(digest_secret(key.salt, secret), key.digest)
    if is_valid and key.team in fleet.teams:
        return Success(key.team)
    if queue.access is QueueAccess.OPEN:
        return Success(None)
    return Failure(Refusal(RefusalReason.KEY_REFUSED))

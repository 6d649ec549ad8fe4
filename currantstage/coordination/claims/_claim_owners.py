"""Which entry VM records the claims of which bucket."""

from __future__ import annotations

import hashlib
from dataclasses import dataclass
from typing import TYPE_CHECKING

from currantstage.coordination._errors import StoreContentError
from currantstage.coordination.claims._claim_keys import BUCKET_COUNT
from currantstage.state import (
    ABSENT,
    CLAIM_OWNERS_KEY,
    BucketId,
    ClaimOwner,
    ClaimOwnersRow,
    RowVersion,
    RowWrite,
)

if TYPE_CHECKING:
    from collections.abc import Iterable

    from currantstage.coordination.store._procedures import Procedure
    from currantstage.coordination.store._store_access import StoreAccess


@dataclass(frozen=True, slots=True)
class ClaimOwners:
    """The owners of all buckets as one version of their row states them.

    Parameters
    ----------
    version : RowVersion
    owners : tuple of ClaimOwner
        Owner by bucket; empty before the row exists.
    """

    version: RowVersion = ABSENT
    owners: tuple[ClaimOwner, ...] = ()

    def owner_of(self, bucket: BucketId) -> ClaimOwner | None:
        """Return the owner of `bucket`, if any."""
        return self.owners[bucket] if self.owners else None

    def is_cleaner(self, owner: ClaimOwner) -> bool:
        """Return whether `owner` deletes the expired rows of every log."""
        return bool(self.owners) and self.owners[0] == owner

    def owns_any(self, owner: ClaimOwner) -> bool:
        """Return whether `owner` records the claims of some bucket."""
        return owner in self.owners


def assign_buckets(members: Iterable[ClaimOwner]) -> tuple[ClaimOwner, ...]:
    """Return the owner of each bucket by rendezvous hashing.

    A member that joins or leaves moves only its own buckets.

    Parameters
    ----------
    members : iterable of ClaimOwner
        At least one.
    """
    candidates = sorted(members)
    return tuple(
        max(candidates, key=lambda member: _weight(bucket, member))
        for bucket in range(BUCKET_COUNT)
    )


def _weight(bucket: int, member: ClaimOwner) -> bytes:
    name = f"{bucket}/{member.entry_vm}/{member.incarnation}"
    return hashlib.sha256(name.encode()).digest()


def read_owners(store: StoreAccess) -> Procedure[ClaimOwners]:
    """Return the owners as the table has them; raises `StoreUnreachableError`."""
    row = yield from store.read(CLAIM_OWNERS_KEY)
    if row is None:
        return ClaimOwners()
    if not isinstance(row.record, ClaimOwnersRow):
        raise StoreContentError(f"{CLAIM_OWNERS_KEY} holds another kind of record")
    return ClaimOwners(row.version, row.record.owners)


def refresh_owners(
    store: StoreAccess, members: frozenset[ClaimOwner]
) -> Procedure[ClaimOwners]:
    """Read the owners, and share the buckets out anew when the members changed.

    Taking a bucket from an owner that lives after all is safe: its next write
    states the old version of the row and fails.

    Parameters
    ----------
    store : StoreAccess
    members : frozenset of ClaimOwner
        The starts of entry VMs that have a row; at least the caller's own.
    """
    current = yield from read_owners(store)
    wanted = assign_buckets(members)
    if current.owners == wanted:
        return current
    write = RowWrite(
        key=CLAIM_OWNERS_KEY,
        expected_version=current.version,
        record=ClaimOwnersRow(owners=wanted),
    )
    yield from store.transact([write])
    return (yield from read_owners(store))

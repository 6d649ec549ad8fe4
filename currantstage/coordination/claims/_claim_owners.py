"""Assignment of claim buckets to the entry VMs that record their claims."""

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
    """The owners of all buckets in one version of the owners' row.

    Parameters
    ----------
    version : RowVersion
    owners : tuple of ClaimOwner
        Owner of each bucket; empty before the row exists.
    """

    version: RowVersion = ABSENT
    owners: tuple[ClaimOwner, ...] = ()

    def owner_of(self, bucket: BucketId) -> ClaimOwner | None:
        """Return the owner of `bucket`, if any."""
        return self.owners[bucket] if self.owners else None

    def cleans_all_logs(self, owner: ClaimOwner) -> bool:
        """Return whether `owner` deletes the expired rows of every log."""
        return bool(self.owners) and self.owners[0] == owner

    def owns_any(self, owner: ClaimOwner) -> bool:
        """Return whether `owner` owns at least one bucket."""
        return owner in self.owners


def assign_buckets(members: Iterable[ClaimOwner]) -> tuple[ClaimOwner, ...]:
    """Return the owner of each bucket by rendezvous hashing.

    If a member joins or leaves, only its own buckets move.

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
    """Read the owners from the table; raises `StoreUnreachableError`."""
    row = yield from store.read(CLAIM_OWNERS_KEY)
    if row is None:
        return ClaimOwners()
    if not isinstance(row.record, ClaimOwnersRow):
        raise StoreContentError(f"unexpected type of record in row {CLAIM_OWNERS_KEY}")
    return ClaimOwners(row.version, row.record.owners)


def refresh_owners(
    store: StoreAccess, members: frozenset[ClaimOwner]
) -> Procedure[ClaimOwners]:
    """Read the owners, and reassign the buckets if the members have changed.

    Reassigning a bucket of an owner that is still alive is safe: its next write is
    conditional on the old version of the row and fails.

    Parameters
    ----------
    store : StoreAccess
    members : frozenset of ClaimOwner
        Incarnations of entry VMs that have a row; must include the caller's own.
    """
    current = yield from read_owners(store)
    assigned = assign_buckets(members)
    if current.owners == assigned:
        return current
    write = RowWrite(
        key=CLAIM_OWNERS_KEY,
        expected_version=current.version,
        record=ClaimOwnersRow(owners=assigned),
    )
    yield from store.transact([write])
    return (yield from read_owners(store))

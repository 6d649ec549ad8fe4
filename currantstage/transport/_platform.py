"""Client of the platform's table service, object store and VM list."""

from __future__ import annotations

from typing import TYPE_CHECKING, Self, TypeVar

import aiohttp

from currantstage.protocol import (
    DecodeError,
    decode_generation,
    decode_listing,
    decode_names,
    decode_outcome,
    decode_reboot,
    decode_rows,
    encode_generation,
    encode_transaction,
)
from currantstage.state import StoreUnavailableError, StoreUncertainError

if TYPE_CHECKING:
    from collections.abc import Callable, Sequence

    from currantstage.config import PlatformSettings
    from currantstage.state import (
        AttemptId,
        ListedVm,
        ObjectName,
        RebootStatus,
        RebootTicket,
        RowKey,
        StoredGeneration,
        TransactionItem,
        TransactionOutcome,
        VersionedRow,
        VmId,
    )

T = TypeVar("T")

_NOT_FOUND = 404
_OK = 200


class PlatformClient:
    """Implements the interfaces to the platform's service over HTTP.

    Parameters
    ----------
    url : str
        URL of the platform's service, ``http://IP:port``.
    timeout_s : float
        Timeout of a call, in seconds.
    """

    def __init__(self, url: str, timeout_s: float) -> None:
        self._url = url.rstrip("/")
        self._timeout = aiohttp.ClientTimeout(total=timeout_s)
        self._session: aiohttp.ClientSession | None = None

    @classmethod
    def from_config(cls, settings: PlatformSettings) -> Self:
        """Create a client from the settings."""
        return cls(settings.url, settings.timeout_ms / 1000)

    async def start(self) -> None:
        """Open the connection pool."""
        self._session = aiohttp.ClientSession(timeout=self._timeout)

    async def close(self) -> None:
        """Close all connections."""
        if self._session is not None:
            await self._session.close()
            self._session = None

    async def read(self, key: RowKey) -> VersionedRow | None:
        """Return the row with `key`, or None if there is none."""
        body = await self._call("GET", "/rows", params={"key": key})
        rows = _decode_response(decode_rows, body)
        return rows[0] if rows else None

    async def scan(self, prefix: RowKey) -> Sequence[VersionedRow]:
        """Return the rows whose keys start with `prefix`."""
        body = await self._call("GET", "/rows", params={"prefix": prefix})
        return _decode_response(decode_rows, body)

    async def transact(
        self, attempt: AttemptId, items: Sequence[TransactionItem]
    ) -> TransactionOutcome:
        """Apply all writes of `items`, or none of them if a version differs."""
        content = encode_transaction(attempt, tuple(items))
        body = await self._call("POST", "/transactions", data=content)
        try:
            return decode_outcome(body or b"")
        except DecodeError as error:
            raise StoreUncertainError(str(error)) from error

    async def get(self, name: ObjectName) -> StoredGeneration | None:
        """Return the object with `name`, or None if there is none."""
        body = await self._call("GET", f"/objects/{name}")
        return None if body is None else _decode_response(decode_generation, body)

    async def put(self, name: ObjectName, content: StoredGeneration) -> None:
        """Store `content` as the object with `name`."""
        await self._call("PUT", f"/objects/{name}", data=encode_generation(content))

    async def list_names(self, prefix: str) -> Sequence[ObjectName]:
        """Return the names of objects that start with `prefix`."""
        body = await self._call("GET", "/objects", params={"prefix": prefix})
        return _decode_response(decode_names, body)

    async def delete(self, name: ObjectName) -> None:
        """Delete the object with `name`, if there is one."""
        await self._call("DELETE", f"/objects/{name}")

    async def list_vms(self) -> Sequence[ListedVm]:
        """Return the platform's list of VMs."""
        return _decode_response(decode_listing, await self._call("GET", "/vms"))

    async def reboot(self, vm: VmId, ticket: RebootTicket) -> RebootStatus:
        """Reboot `vm` at most once per `ticket`; returns the status of the reboot."""
        body = await self._call("PUT", f"/vms/{vm}/reboots/{ticket}")
        return _decode_response(decode_reboot, body)

    async def _call(
        self,
        method: str,
        path: str,
        params: dict[str, str] | None = None,
        data: bytes | None = None,
    ) -> bytes | None:
        """Return the body of a successful response, or None if nothing was found."""
        if self._session is None:
            raise StoreUnavailableError("the client is closed")
        try:
            async with self._session.request(
                method, self._url + path, params=params, data=data
            ) as response:
                body = await response.read()
        except aiohttp.ClientConnectorError as error:
            raise StoreUnavailableError(str(error)) from error
        except (aiohttp.ClientError, TimeoutError) as error:
            raise StoreUncertainError(f"{method} {path}: {error!r}") from error
        if response.status == _NOT_FOUND:
            return None
        if response.status != _OK:
            raise StoreUnavailableError(f"{method} {path}: status {response.status}")
        return body


def _decode_response(decoder: Callable[[bytes], T], body: bytes | None) -> T:
    try:
        return decoder(body or b"")
    except DecodeError as error:
        raise StoreUnavailableError(str(error)) from error

"""Bodies of HTTP calls whose progress can be followed.

A large body takes long over a slow link. Each part that has been sent or has arrived
shows that the other side is alive.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

from currantstage.util import record_arrival

if TYPE_CHECKING:
    from collections.abc import AsyncIterator, Callable

    import aiohttp

#: Size of the parts in which a large body is sent, in bytes.
PART_BYTES = 32 * 1024


async def read_body(
    response: aiohttp.ClientResponse, on_progress: Callable[[], None]
) -> bytes:
    """Return the body of a response; call `on_progress` for each part of it."""
    on_progress()
    record_arrival(0)
    parts = []
    async for part in response.content.iter_any():
        on_progress()
        record_arrival(len(part))
        parts.append(part)
    return b"".join(parts)


def upload_body(
    body: bytes, on_progress: Callable[[], None]
) -> bytes | AsyncIterator[bytes]:
    """Return what sends `body`, and calls `on_progress` as the link takes it.

    The headers of the call must state the length of the body.
    """
    if len(body) <= PART_BYTES:
        return body
    return _upload_parts(body, on_progress)


async def _upload_parts(
    body: bytes, on_progress: Callable[[], None]
) -> AsyncIterator[bytes]:
    for first in range(0, len(body), PART_BYTES):
        yield body[first : first + PART_BYTES]
        # The consumer asks for the next part when the link has taken this one.
        on_progress()

"""Loopback ports for tests that start servers."""

from __future__ import annotations

import socket

#: Ports below those that outgoing connections are given.
FIRST_PORT = 18191
LAST_PORT = 28191


def free_addresses(count: int) -> list[str]:
    """Return the first free loopback addresses, as other programs may use some."""
    addresses: list[str] = []
    for port in range(FIRST_PORT, LAST_PORT):
        if len(addresses) == count:
            break
        if _is_free(port):
            addresses.append(f"127.0.0.1:{port}")
    return addresses


def _is_free(port: int) -> bool:
    with socket.socket() as probe:
        probe.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        try:
            probe.bind(("127.0.0.1", port))
        except OSError:
            return False
    return True

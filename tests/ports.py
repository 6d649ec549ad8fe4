"""Loopback ports for tests that start servers."""

from __future__ import annotations

import os
import socket

#: Ports below those that outgoing connections are given.
FIRST_PORT = 18191
LAST_PORT = 28191
#: Distance of the first ports that two processes in a row try.
PROCESS_STRIDE = 97


def free_addresses(count: int) -> list[str]:
    """Return free loopback addresses; other processes begin at other ports."""
    ports = range(FIRST_PORT, LAST_PORT)
    first = os.getpid() * PROCESS_STRIDE % len(ports)
    addresses: list[str] = []
    for port in (*ports[first:], *ports[:first]):
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

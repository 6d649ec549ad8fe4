"""Three data centres on loopback in one process, on stand-ins."""

from __future__ import annotations

import itertools
import os
import socket
from contextlib import AsyncExitStack
from importlib import resources
from string import Template
from typing import TYPE_CHECKING, Self

from currantstage.application import Daemon
from currantstage.config import (
    EntryVmSettings,
    OperatorSettings,
    PeerSettings,
    PlatformSettings,
    ServingSettings,
    Settings,
)
from currantstage.standin._backend import BackendStandIn
from currantstage.standin._platform import PlatformStandIn
from currantstage.state import DataCentreId, EntryVmId, ListedVm, VmId, VmLiveness

if TYPE_CHECKING:
    from collections.abc import Sequence

#: Operators' key of the loopback cluster.
OPERATOR_KEY = "operators-of-the-demo"
DATA_CENTRES = (DataCentreId("a"), DataCentreId("b"), DataCentreId("c"))
#: Ports for servers on loopback, below the system's ephemeral port range.
FIRST_PORT, LAST_PORT = 10_000, 32_000
VM_NAMES = ("a1", "a2", "b1", "b2", "c1", "c2")

#: Each process starts at a different port, so that two rarely try the same ones.
_CANDIDATE_PORTS = itertools.cycle(
    itertools.chain(
        range(FIRST_PORT + os.getpid() * 97 % (LAST_PORT - FIRST_PORT), LAST_PORT),
        range(FIRST_PORT, LAST_PORT),
    )
)


def find_free_ports(count: int) -> list[int]:
    """Return `count` distinct ports of the loopback address that are free now.

    They lie below the ephemeral port range: an outgoing connection could otherwise take
    a port before its server listens.
    """
    ports: list[int] = []
    while len(ports) < count:
        port = next(_CANDIDATE_PORTS)
        with socket.socket() as probe:
            try:
                probe.bind(("127.0.0.1", port))
            except OSError:
                continue
        ports.append(port)
    return ports


def sample_note(ports: Sequence[int]) -> str:
    """Return the sample note of the package, with its VMs at `ports` on loopback."""
    text = (
        resources.files("currantstage.standin") / "samples/first-note.ini"
    ).read_text(encoding="utf-8")
    return Template(text).substitute(dict(zip(VM_NAMES, ports, strict=True)))


class LoopbackCluster:
    """Runs daemons, backend servers and the platform on loopback.

    Parameters
    ----------
    daemons_per_data_centre : int
    """

    def __init__(self, daemons_per_data_centre: int = 1) -> None:
        count = daemons_per_data_centre * len(DATA_CENTRES)
        ports = find_free_ports(1 + len(VM_NAMES) + 2 * count)
        self.platform = PlatformStandIn(f"127.0.0.1:{ports.pop()}")
        self.backend_ports = [ports.pop() for _ in VM_NAMES]
        self.backends = {
            name: BackendStandIn(name, f"127.0.0.1:{port}")
            for name, port in zip(VM_NAMES, self.backend_ports, strict=True)
        }
        self.settings = [
            self._build_settings(index, ports.pop(), ports.pop())
            for index in range(count)
        ]
        self.daemons: list[Daemon] = []
        self._resources = AsyncExitStack()

    async def __aenter__(self) -> Self:
        await self.start()
        return self

    async def __aexit__(self, *_: object) -> None:
        await self.close()

    @property
    def urls(self) -> list[str]:
        """Base URLs of the daemons."""
        return [f"http://{each.entry_vm.http_address}" for each in self.settings]

    @property
    def note(self) -> str:
        """The sample note for this cluster's backend servers."""
        return sample_note(self.backend_ports)

    async def start(self) -> None:
        """Start the platform, the backend servers and the daemons."""
        stand_ins: tuple[PlatformStandIn | BackendStandIn, ...]
        stand_ins = (self.platform, *self.backends.values())
        for stand_in in stand_ins:
            self._resources.push_async_callback(stand_in.close)
            await stand_in.start()
        self.platform.content.set_listing(self._list_vms())
        for settings in self.settings:
            daemon = Daemon.from_config(settings)
            await daemon.start()
            self._resources.push_async_callback(daemon.close)
            self.daemons.append(daemon)

    async def close(self) -> None:
        """Stop everything in reverse order."""
        await self._resources.aclose()

    def _list_vms(self) -> list[ListedVm]:
        names = [*VM_NAMES, *(each.entry_vm.id for each in self.settings)]
        return [ListedVm(vm_id=VmId(name), liveness=VmLiveness.LIVE) for name in names]

    def _build_settings(self, index: int, http_port: int, peer_port: int) -> Settings:
        data_centre = DATA_CENTRES[index % len(DATA_CENTRES)]
        return Settings(
            entry_vm=EntryVmSettings(
                id=EntryVmId(f"{data_centre}-entry-{index // len(DATA_CENTRES) + 1}"),
                data_centre=data_centre,
                http_address=f"127.0.0.1:{http_port}",
                peer_address=f"127.0.0.1:{peer_port}",
            ),
            platform=PlatformSettings(url=self.platform.url),
            peers=PeerSettings(secret="peers-of-the-demo"),
            operators=OperatorSettings(key=OPERATOR_KEY),
            serving=ServingSettings(balancer_notice_ms=1),
        )

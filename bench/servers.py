"""Serve stand-ins for the platform and for backend servers in one process."""

from __future__ import annotations

import asyncio

import click
import uvloop

from currantstage.standin import BackendStandIn, PlatformStandIn


@click.command()
@click.option("--platform-port", type=int, required=True)
@click.option("--duration-s", type=float, default=0.0, show_default=True)
@click.argument("backend_ports", type=int, nargs=-1)
def main(platform_port: int, duration_s: float, backend_ports: tuple[int, ...]) -> None:
    """Serve the platform, and a backend server on each of BACKEND_PORTS."""
    uvloop.run(_serve(platform_port, duration_s, backend_ports))


async def _serve(
    platform_port: int, duration_s: float, backend_ports: tuple[int, ...]
) -> None:
    await PlatformStandIn(f"127.0.0.1:{platform_port}").start()
    for port in backend_ports:
        await BackendStandIn(f"w{port}", f"127.0.0.1:{port}", duration_s).start()
    await asyncio.Event().wait()


if __name__ == "__main__":
    main()

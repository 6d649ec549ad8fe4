"""HTTP routes for the request counts behind the service level objectives."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any, Protocol

from currantstage.transport._operator_routes import json_response, require_operator_key

if TYPE_CHECKING:
    from sanic import HTTPResponse, Request, Sanic

    from currantstage.protocol import Members, ServiceLevelReport

_OK = 200


class ServiceLevelSource(Protocol):
    """Provides the request counts behind the service level objectives."""

    async def service_levels(self) -> ServiceLevelReport:
        """Return the request counts of this entry VM."""

    async def members(self) -> Members:
        """Return the entry VMs that have a row; raises `OperatorCallError`."""


def add_service_level_routes(
    app: Sanic[Any, Any], source: ServiceLevelSource, key: str
) -> None:
    """Serve the request counts and the members to calls that present `key`."""

    async def service_levels(_: Request) -> HTTPResponse:
        return json_response(await source.service_levels(), _OK)

    async def members(_: Request) -> HTTPResponse:
        return json_response(await source.members(), _OK)

    for handler, path in (
        (service_levels, "/v1/service-levels"),
        (members, "/v1/members"),
    ):
        authenticated = require_operator_key(handler, key)
        app.add_route(authenticated, path, methods=["GET"], name=handler.__name__)

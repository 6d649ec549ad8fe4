"""Build a daemon's HTTP server with all its routes."""

from __future__ import annotations

from typing import TYPE_CHECKING

from currantstage.application._fleet_reporter import FleetReporter
from currantstage.application._operator_service import NoteService
from currantstage.coordination.limits import AllotmentLimitCheck
from currantstage.coordination.notes import Acceptance
from currantstage.transport import (
    HttpServer,
    add_caller_routes,
    add_error_handlers,
    add_fleet_status_route,
    add_health_routes,
    add_load_route,
    add_operator_routes,
    add_service_level_routes,
)

if TYPE_CHECKING:
    from collections.abc import Callable

    from currantstage.application._caller_service import QueueService
    from currantstage.application._core import DaemonCore
    from currantstage.application._service_level_service import ServiceLevelService
    from currantstage.transport import HealthService, LoadService


def build_http_server(
    core: DaemonCore,
    queues: QueueService,
    service_levels: ServiceLevelService,
    health: HealthService,
    loads: LoadService,
    on_commit: Callable[[], None],
) -> HttpServer:
    """Return the server, which does not listen yet.

    Parameters
    ----------
    core : DaemonCore
    queues : QueueService
    service_levels : ServiceLevelService
    health : HealthService
    loads : LoadService
    on_commit : callable
        Called when this daemon has committed a note, so that it is applied at once.
    """
    settings = core.settings
    operator_key = settings.operators.key
    server = HttpServer(
        f"currantstage-{settings.entry_vm.id}",
        settings.entry_vm.http_address,
        settings.serving.max_body_bytes,
    )
    limit_check = AllotmentLimitCheck(core.store)
    acceptance = Acceptance(
        core.store, core.configuration, core.head_observer, limit_check
    )
    notes = NoteService(
        core.runner, core.store, core.configuration, acceptance, on_commit
    )
    reporter = FleetReporter(core.runner, core.store, core.configuration)
    add_error_handlers(server.app)
    add_caller_routes(server.app, queues)
    add_operator_routes(server.app, notes, operator_key)
    add_fleet_status_route(server.app, reporter, operator_key)
    add_service_level_routes(server.app, service_levels, operator_key)
    add_load_route(server.app, loads, operator_key)
    add_health_routes(server.app, health)
    return server

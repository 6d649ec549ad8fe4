"""Rows that operators and workers write to the platform's store."""

from __future__ import annotations

from typing import TYPE_CHECKING

import msgspec
from eliot import log_message
from msgspec import Struct

from currantstage.platform._decoding import (
    DecodingError,
    decode_configuration,
    decode_wave,
    decode_worker,
)
from currantstage.state.jobs import (
    OperatorChanges,
    RowCondition,
    RowName,
    RowPage,
    RowWrite,
    StoredRow,
    WorkerChanges,
    WorkerId,
)

if TYPE_CHECKING:
    from currantstage.state.jobs import (
        FleetConfiguration,
        MaintenanceWave,
        PartitionedStore,
        WorkerEntry,
    )

_OPERATORS_TABLE = "op"
_CONFIGURATION_KEY = "config"
_WAVE_PREFIX = "wave/"
_WORKERS_TABLE = "servers"
_STATUS_TABLE = "status"


class _WaveStatus(Struct, rename="pascal"):
    state: str


class OperatorRows:
    """Reads the operators' rows; implements `OperatorSource`."""

    def __init__(self, store: PartitionedStore) -> None:
        self._store = store

    async def read(self) -> OperatorChanges:
        """Return the configuration and the waves as stored."""
        return self._decode_changes(await self._store.read(_OPERATORS_TABLE, ""))

    async def changes(self, after: int, wait_ms: int) -> OperatorChanges | None:
        """Return the changes since `after`; None if that history is unavailable."""
        page = await self._store.changes(_OPERATORS_TABLE, after, wait_ms)
        return self._decode_changes(page) if page else None

    def decode(self, raw_configuration: bytes) -> FleetConfiguration | None:
        """Decode a configuration; return None if it is malformed."""
        try:
            return decode_configuration(raw_configuration)
        except DecodingError as error:
            log_message("currantstage:configuration-malformed", reason=str(error))
            return None

    async def write_wave_state(self, wave: int, *, is_completed: bool) -> None:
        """Write the state of a wave for operators to read.

        The beginning is written only if nothing is there, so that a write of it that
        takes effect late never replaces the completion.
        """
        status = _WaveStatus("completed" if is_completed else "running")
        name = RowName(_STATUS_TABLE, "", f"{_WAVE_PREFIX}{wave}")
        conditions = () if is_completed else (RowCondition(name, 0),)
        write = RowWrite(name, msgspec.json.encode(status))
        await self._store.transact(conditions, (write,))

    def _decode_changes(self, page: RowPage) -> OperatorChanges:
        configuration = None
        raw = b""
        is_malformed = False
        waves: list[MaintenanceWave] = []
        for row in page.rows:
            if row.value is None:
                continue
            if row.name.key == _CONFIGURATION_KEY:
                configuration = self.decode(row.value)
                raw = row.value if configuration else b""
                is_malformed = configuration is None
            elif row.name.key.startswith(_WAVE_PREFIX):
                waves.extend(_decode_wave_row(row))
        return OperatorChanges(
            configuration, raw, tuple(waves), page.version, is_malformed
        )


class WorkerRows:
    """Reads the workers' rows; implements `WorkerSource`."""

    def __init__(self, store: PartitionedStore) -> None:
        self._store = store

    async def read(self) -> WorkerChanges:
        """Return the entries of all workers."""
        return _decode_worker_changes(await self._store.read(_WORKERS_TABLE, ""))

    async def changes(self, after: int, wait_ms: int) -> WorkerChanges | None:
        """Return the changes since `after`; None if that history is unavailable."""
        page = await self._store.changes(_WORKERS_TABLE, after, wait_ms)
        return _decode_worker_changes(page) if page else None


def _decode_wave_row(row: StoredRow) -> list[MaintenanceWave]:
    try:
        return [decode_wave(row.value or b"")]
    except DecodingError as error:
        log_message("currantstage:wave-malformed", wave=row.name.key, reason=str(error))
        return []


def _decode_worker_changes(page: RowPage) -> WorkerChanges:
    entries: list[WorkerEntry] = []
    removed: list[WorkerId] = []
    for row in page.rows:
        if row.value is None:
            removed.append(WorkerId(row.name.key))
            continue
        try:
            entries.append(decode_worker(row.name.key, row.value))
        except DecodingError as error:
            # A malformed entry names no usable worker: it counts as removed.
            removed.append(WorkerId(row.name.key))
            log_message(
                "currantstage:worker-entry-malformed",
                worker=row.name.key,
                reason=str(error),
            )
    return WorkerChanges(tuple(entries), tuple(removed), page.version)

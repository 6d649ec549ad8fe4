"""Typed identifiers."""

from __future__ import annotations

from typing import NewType

#: A VM of the fleet that runs a backend server.
VmId = NewType("VmId", str)
#: A VM that runs the daemon of this system.
EntryVmId = NewType("EntryVmId", str)
#: One process of a daemon; never reused, so a restart gets a new one.
IncarnationId = NewType("IncarnationId", str)
PoolId = NewType("PoolId", str)
QueueId = NewType("QueueId", str)
TeamId = NewType("TeamId", str)
KeyId = NewType("KeyId", str)
WaveId = NewType("WaveId", str)
DataCentreId = NewType("DataCentreId", str)
RackId = NewType("RackId", str)
NoteId = NewType("NoteId", str)
RequestId = NewType("RequestId", str)
#: Number of an accepted configuration; incremented by each release note.
Generation = NewType("Generation", int)
#: One attempt at a write; used to check later whether the write took effect.
AttemptId = NewType("AttemptId", str)
#: Incremented for each new holder of a duty's lease.
FencingNumber = NewType("FencingNumber", int)
#: Identifies a drain of a VM; increases with each change in the VM's data centre.
DrainNumber = NewType("DrainNumber", int)
#: Identifies a reboot, so that the platform executes repeated requests only once.
RebootTicket = NewType("RebootTicket", str)
RowKey = NewType("RowKey", str)
#: Version of a row in the table service; zero if the row does not exist.
RowVersion = NewType("RowVersion", int)
ObjectName = NewType("ObjectName", str)

#: Version of a row that does not exist.
ABSENT = RowVersion(0)
#: Generation of the empty fleet, before the first release note.
FIRST_GENERATION = Generation(0)

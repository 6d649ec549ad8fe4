"""Typed identifiers of everything that the system names."""

from __future__ import annotations

from typing import NewType

#: One VM of the fleet, serving callers' requests as a backend server.
VmId = NewType("VmId", str)
#: One VM that runs this system's daemon.
EntryVmId = NewType("EntryVmId", str)
#: One start of a daemon process; never reused.
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
#: Number of an accepted configuration; rises by one with each release note.
Generation = NewType("Generation", int)
#: Names one try of a write, so that its effect can be recognised afterwards.
AttemptId = NewType("AttemptId", str)
#: Rises with each holder of a duty's lease.
FencingNumber = NewType("FencingNumber", int)
#: Names one drain of a VM; rises with each change in the VM's data centre.
DrainNumber = NewType("DrainNumber", int)
#: Names one reboot, so that the platform does it once however often it is asked.
RebootTicket = NewType("RebootTicket", str)
RowKey = NewType("RowKey", str)
#: Version of a row in the table service; zero means that the row is absent.
RowVersion = NewType("RowVersion", int)
ObjectName = NewType("ObjectName", str)

#: Version of a row that does not exist.
ABSENT = RowVersion(0)
#: Generation of the empty fleet, before the first release note.
FIRST_GENERATION = Generation(0)

"""Each kind of duty has one lease."""

from __future__ import annotations

import pytest

from currantstage.application import DutyRunner
from currantstage.coordination.notes import Cleanup
from currantstage.coordination.store import DUTY_LEASE_S, DutyLeases
from currantstage.state import EntryVmId, IncarnationId
from tests.fakes import FakeClock, make_store_access


def test_two_duties_of_the_same_kind_are_rejected():
    access = make_store_access()
    leases = DutyLeases(access, EntryVmId("e1"), IncarnationId("i1"))
    duties = [Cleanup(access), Cleanup(access)]
    with pytest.raises(
        ValueError, match="duty kinds must be unique: each kind has one lease"
    ):
        DutyRunner(None, leases, FakeClock(), duties, DUTY_LEASE_S)

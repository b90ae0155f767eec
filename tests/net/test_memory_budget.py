"""Tests of the budget of the memory that connections make the relay hold: who is admitted, who leaves."""

from __future__ import annotations

import sys
from functools import partial
from types import SimpleNamespace
from typing import Any

import pytest
from hypothesis import given
from hypothesis import strategies as st

from sageturn.net.admission import AdmissionController, PendingConnection, ProcessLimits
from sageturn.net.memory_budget import ConnectionMemory, HeldFor, MemoryBudget, MemoryLimits
from sageturn.relay.connection_memory import MIN_RELEASED_BYTES, ConnectionMemoryMonitor, trim_heap

LIMITS = MemoryLimits(max_bytes=1000, admission_bytes=800)
ADDRESS = ("127.0.0.1", 1)


class Connections:
    """Accounts of one budget by name, and the order in which they were asked to leave."""

    def __init__(self, limits: MemoryLimits = LIMITS) -> None:
        self.budget = MemoryBudget(limits)
        self.shed: list[str] = []

    def open(self, name: str, standing_bytes: int = 100) -> ConnectionMemory:
        return self.budget.open(standing_bytes, partial(self.shed.append, name))

    def open_established(self, name: str, standing_bytes: int = 100) -> ConnectionMemory:
        account = self.open(name, standing_bytes)
        account.activate(partial(self.shed.append, name))
        return account


def test_a_connection_is_admitted_while_its_standing_share_fits() -> None:
    connections = Connections()
    accounts = [connections.open(str(number), 400) for number in range(2)]
    assert not connections.budget.has_room_for(1)
    accounts[0].release()
    assert connections.budget.has_room_for(400) and not connections.budget.has_room_for(401)


def test_held_input_keeps_no_new_connection_out() -> None:
    # Clients that stopped half way through a large stanza kept all others out.
    connections = Connections()
    holder = connections.open_established("holder")
    holder.hold(HeldFor.CLIENT, 900)
    assert connections.shed == [] and connections.budget.has_room_for(100)
    connections.open("new")
    assert connections.shed == ["holder"]


def test_pending_connections_leave_before_established_ones_and_the_largest_first() -> None:
    connections = Connections()
    established = connections.open_established("established")
    small, large = connections.open("small"), connections.open("large")
    established.hold(HeldFor.ENDPOINT, 500)
    small.hold(HeldFor.CLIENT, 50)
    assert connections.shed == []
    large.hold(HeldFor.CLIENT, 151)
    assert connections.shed == ["large"]
    small.hold(HeldFor.CLIENT, 400)
    assert connections.shed == ["large", "small"]
    large.release()
    small.release()
    established.hold(HeldFor.ENDPOINT, 901)
    assert connections.shed == ["large", "small", "established"]


def test_a_connection_that_holds_nothing_beyond_its_share_is_never_asked_to_leave() -> None:
    connections = Connections()
    for number in range(12):
        connections.open_established(str(number))
    assert connections.shed == [] and connections.budget.used_bytes == 1200


def test_the_input_of_a_connection_that_leaves_is_given_back_at_once() -> None:
    connections = Connections()
    account = connections.open_established("flooding")
    account.set_discard(HeldFor.CLIENT, partial(account.hold, HeldFor.CLIENT, 0))
    account.hold(HeldFor.CLIENT, 5000)
    assert connections.shed == ["flooding"] and connections.budget.used_bytes == 100


def test_a_connection_that_was_asked_to_leave_no_longer_counts_against_the_others() -> None:
    connections = Connections()
    first, second = connections.open_established("first"), connections.open_established("second")
    first.hold(HeldFor.CLIENT, 900)
    second.hold(HeldFor.CLIENT, 500)
    assert connections.shed == ["first"]


@given(st.lists(st.tuples(st.integers(0, 4), st.integers(0, 1), st.integers(0, 600)), max_size=60))
def test_what_is_left_fits_after_each_change_and_all_is_given_back(
    changes: list[tuple[int, int, int]],
) -> None:
    connections = Connections()
    accounts = [connections.open_established(str(number), 10) for number in range(5)]
    for number, peer, held_bytes in changes:
        accounts[number].hold(HeldFor(peer), held_bytes)
        staying = [account for account in accounts if not account.is_shed]
        assert sum(account.total_bytes for account in staying) <= LIMITS.max_bytes
        assert connections.budget.used_bytes == sum(account.total_bytes for account in accounts)
    for account in accounts:
        account.release()
    assert connections.budget.used_bytes == 0
    assert connections.budget.shed_connections == len(connections.shed) == len(set(connections.shed))


@pytest.mark.parametrize("memory_mb", [32.0, 56.0, 96.0, 192.0])
@pytest.mark.parametrize("standing_kb", [48, 72, 136, 200])
async def test_the_sum_of_all_shares_stays_well_under_the_limit(memory_mb: float, standing_kb: int) -> None:
    # Each connection counted alike, whatever it spoke.
    admission = AdmissionController(ProcessLimits(1024, memory_mb))
    admitted: list[PendingConnection] = []
    while admission.make_room(standing_kb * 1024):
        admitted.append(admission.admit(ADDRESS, ADDRESS, standing_kb * 1024))
        admitted[-1].mark_active()
        assert len(admitted) < 5000
    assert admission.memory.used_bytes <= 0.8 * (memory_mb - 26.0) * 1024 * 1024
    assert len(admitted) > 10
    for connection in admitted:
        admission.release(connection)
    assert admission.memory.used_bytes == 0


async def test_small_pending_connections_make_no_room_for_as_many_large_ones() -> None:
    # One small pending connection was evicted for each large one, and the sum of the shares had no bound.
    admission = AdmissionController(ProcessLimits(1024, 56.0))
    small: list[PendingConnection] = []
    while admission.memory.has_room_for(48 * 1024):
        small.append(admission.admit(ADDRESS, ADDRESS, 48 * 1024))
        if len(small) > 300:
            small[-1].mark_active()
    while admission.make_room(200 * 1024):
        admission.admit(ADDRESS, ADDRESS, 200 * 1024).mark_active()
    for connection in small:
        if connection.is_evicted:
            admission.release(connection)
    assert 0 < admission.memory.used_bytes <= admission.memory.limits.admission_bytes
    assert admission._leaving_bytes == 0


async def test_a_connection_that_is_served_although_it_was_evicted_keeps_its_share() -> None:
    # Its request was complete in the turn of the event loop in which it was evicted.
    admission = AdmissionController(ProcessLimits(1024, 32.0))
    evicted = admission.admit(ADDRESS, ADDRESS)
    admission.evict_oldest_pending()
    evicted.mark_active()
    while admission.make_room(48 * 1024):
        admission.admit(ADDRESS, ADDRESS).mark_active()
    assert admission.memory.used_bytes <= admission.memory.limits.admission_bytes
    admission.release(evicted)
    assert admission._leaving_bytes == 0 and admission.make_room(48 * 1024)


async def test_new_limits_hold_for_the_connections_that_are_there() -> None:
    admission = AdmissionController(ProcessLimits(1024, 192.0))
    pending = admission.admit(ADDRESS, ADDRESS)
    admission.limits = ProcessLimits(1024, 32.0)
    pending.memory.hold(HeldFor.CLIENT, 6 << 20)
    assert pending.is_evicted and not admission.pending_count


@pytest.mark.parametrize("module", [None, SimpleNamespace(CDLL=lambda name: SimpleNamespace())])
def test_a_relay_whose_heap_can_not_be_trimmed_runs_on(monkeypatch: pytest.MonkeyPatch, module: Any) -> None:
    # An error here would end the actor, and the relay with it.
    monkeypatch.setitem(sys.modules, "ctypes", module)
    trim_heap()


def test_the_heap_is_trimmed_once_for_each_drop() -> None:
    connections = Connections(MemoryLimits(1 << 30, 1 << 30))
    trims: list[None] = []
    monitor = ConnectionMemoryMonitor(connections.budget, lambda: trims.append(None))
    account = connections.open("a", MIN_RELEASED_BYTES)  # between two checks
    account.release()
    for _ in range(3):
        monitor.check()
    assert len(trims) == 1

"""Members of a scale run and their copies of the store."""

from __future__ import annotations

import pytest

from sageturn.lab.scale import members
from sageturn.lab.scale.digest_replication import LinkOptions
from sageturn.lab.scale.members import ArrivalRecorder, Location, make_replication, preload, store_hash
from sageturn.net.admission import AdmissionController, ProcessLimits
from sageturn.store.store import Store


def test_first_arrivals_outlive_a_wiped_copy_and_the_new_copy_records_its_own() -> None:
    first_arrivals_s: dict[str, float] = {}
    first = Store("a")
    first_recorder = ArrivalRecorder(first, first_arrivals_s)
    record = first.put("change/1", 1)
    first.put("other", 1)
    second = Store("a")
    second_recorder = ArrivalRecorder(second, first_arrivals_s)
    second.merge([record])
    assert list(first_arrivals_s) == ["change/1"]
    assert (
        second_recorder.present_copy_s["change/1"]
        >= first_recorder.present_copy_s["change/1"]
        == first_arrivals_s["change/1"]
    )


def test_copies_with_the_same_records_have_the_same_hash_and_a_change_alters_it() -> None:
    one, two = Store("a"), Store("b")
    one.merge(preload(20))
    two.merge(reversed(preload(20)))
    assert store_hash(one) == store_hash(two)
    two.put("shards/000003", None)
    assert store_hash(one) != store_hash(two)


def test_another_replication_can_be_registered_by_its_name(monkeypatch: pytest.MonkeyPatch) -> None:
    made = []

    class OtherReplication:
        address = ("127.0.0.1", 0)

        def start(self) -> None: ...

        async def stop(self) -> None: ...

    def make(
        store: Store, options: LinkOptions, admission: AdmissionController, location: Location
    ) -> OtherReplication:
        made.append((store, location))
        return OtherReplication()

    monkeypatch.setitem(members.REPLICATIONS, "other", make)
    store, location = Store("a"), Location("a", "z0", "g0")
    options = LinkOptions(("127.0.0.1", 0), (), b"")
    replication = make_replication(
        "other", store, options, AdmissionController(ProcessLimits(64, 64.0)), location
    )
    assert isinstance(replication, OtherReplication) and made == [(store, location)]

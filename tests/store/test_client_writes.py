"""Writes of operators' clients: their versions, and what else a client may bring to a replica."""

from __future__ import annotations

from support.replication_fleet import SimulatedCluster, make_synced_cluster

KEY = "config/accounts/lan"


def values(cluster: SimulatedCluster, key: str = KEY) -> list[object]:
    """Return the value of a key at each member."""
    return [cluster.store(name).get(key) for name in "abc"]


def test_a_client_writes_above_a_deletion_that_its_replica_has_forgotten() -> None:
    # Guards against a client without the tombstone floor: another replica may still hold the tombstone.
    cluster = make_synced_cluster("abc", 1)
    assert cluster.write_through_client("a", KEY, "first")
    assert cluster.write_through_client("a", KEY, None)
    cluster.run(3.0)
    cluster.store("a").discard_records([KEY])  # a discards it first, as if its clock were ahead
    assert cluster.write_through_client("a", KEY, "anew")
    assert cluster.converge(30.0, [("a", "b"), ("a", "c")])
    assert values(cluster) == ["anew"] * 3

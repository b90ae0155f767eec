"""The membership as stored in records: the advertised members, and those that were removed."""

from __future__ import annotations

from sageturn.store.records import STATE_PREFIX, StoreRecord
from sageturn.store.replication.location import ReplicaLocation, zone_label
from sageturn.store.replication.membership import Member
from sageturn.store.store import Store

MEMBER_SUFFIX = "/member"
REMOVED_PREFIX = "config/removed/"


def member_key(node: str) -> str:
    """Return the key of a member's advertisement of itself."""
    return f"{STATE_PREFIX}{node}{MEMBER_SUFFIX}"


def is_member_key(key: str) -> bool:
    """Return whether the key is that of a member's advertisement of itself."""
    return key.startswith(STATE_PREFIX) and key.endswith(MEMBER_SUFFIX)


def encode_member(location: ReplicaLocation, incarnation: int) -> dict[str, object]:
    """Return the stored value of a member's advertisement of itself."""
    host, port = location.address
    return {
        "address": f"{host}:{port}",
        "region": location.region,
        "zone": location.zone,
        "incarnation": incarnation,
    }


def decode_member(record: StoreRecord) -> Member | None:
    """Return the advertised member; None if the record is no advertisement, malformed or a tombstone."""
    value = record.value
    if record.key != member_key(record.node) or not isinstance(value, dict):
        return None
    host, _, port = str(value.get("address", "")).rpartition(":")
    incarnation = value.get("incarnation")
    if not host or not port.isdigit() or not isinstance(incarnation, int):
        return None
    address = host, int(port)
    return Member(record.node, address, str(value.get("region", "")), str(value.get("zone", "")), incarnation)


def stored_incarnation(store: Store) -> int:
    """Return the incarnation that this node last advertised; 0 if there is none."""
    value = store.get(member_key(store.node))
    incarnation = value.get("incarnation", 0) if isinstance(value, dict) else 0
    return incarnation if isinstance(incarnation, int) else 0


class MemberDirectory:
    """Index of all members by name, including this one, and the names that an operator removed."""

    def __init__(self) -> None:
        self.members: dict[str, Member] = {}
        self.removed: set[str] = set()

    def reset(self, store: Store) -> None:
        """Clear the members, before all records of the store are applied again by ``update``."""
        self.members.clear()
        self.removed = {key.removeprefix(REMOVED_PREFIX) for key in store.keys(REMOVED_PREFIX)}

    def update(self, record: StoreRecord) -> None:
        """Apply the record of a member's advertisement of itself."""
        member = decode_member(record)
        if member is None:
            self.members.pop(record.node, None)
        else:
            self.members[record.node] = member

    def active(self) -> list[Member]:
        """Return the members that were not removed."""
        return [member for member in self.members.values() if member.name not in self.removed]

    def active_zones(self) -> set[str]:
        """Return the zones of the members that were not removed, as ``region/zone``."""
        return {zone_label(member.region, member.zone) for member in self.active()}

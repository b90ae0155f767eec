"""The records of one replica, with everything that replication derives from them. No I/O, no clock.

Callbacks of the store keep the change logs, the Merkle trees, the tombstones and the member directory up to
date. The versions of a record are ordered and an older one never replaces a newer one, so a change that is
forwarded around a cycle of links is not applied again and stops there.
"""

from __future__ import annotations

from collections.abc import Iterable
from typing import Protocol

from sageturn.store.records import STATE_PREFIX, StoreRecord
from sageturn.store.replication.changes import ChangeLogSet
from sageturn.store.replication.cursor import CursorCache
from sageturn.store.replication.member_directory import REMOVED_PREFIX, MemberDirectory, is_member_key
from sageturn.store.replication.tombstones import TombstoneTracker
from sageturn.store.store import Store


class RecordObserver(Protocol):
    """Observer of changes of the records; implemented by ``replica.Replica``."""

    def on_records_changed(self) -> None:
        """Handle new versions of records, which sessions may have to send."""

    def on_members_changed(self) -> None:
        """Handle a member that was added, removed, or advertises itself differently."""

    def on_member_removed(self, node: str) -> None:
        """Handle the removal of a member, this one included, by an operator."""


class ReplicatedRecords:
    """Change logs and indexes of one store, into which the records of peers are merged.

    ``changes`` is replaced when a new incarnation begins, and ``followed_cursors`` is emptied: positions in
    the change logs are not valid for another incarnation.
    """

    def __init__(self, store: Store, horizon_s: float, observer: RecordObserver) -> None:
        self.store = store
        self.changes = ChangeLogSet(0)
        self.followed_cursors = CursorCache()
        self.directory = MemberDirectory()
        self._tombstones = TombstoneTracker(store, horizon_s)
        self._observer = observer
        self._applied_source: int | None = None  # incarnation of the peer whose records are being applied

    def begin_incarnation(self, incarnation: int) -> None:
        """Rebuild the change logs and all indexes from the store."""
        self.changes = ChangeLogSet(incarnation)
        self._tombstones.clear()
        self.directory.reset(self.store)
        for node in self.directory.removed - {self.store.node}:
            self._discard_states(node)
        for record in self.store.records():
            self.changes.add(record)
            self._index(record)
        self.followed_cursors.clear()

    def apply(self, records: Iterable[StoreRecord], source: int) -> int:
        """Merge the records of a peer into the store.

        Args:
            records: Records that the peer sent; obsolete deletions and states of removed members are ignored.
            source: The peer's incarnation, to which these changes are not sent back.

        Returns:
            Number of records that were newer than the store's.

        Raises:
            OSError: The log cannot be written.
        """
        current = [record for record in records if not self._is_obsolete(record)]
        self._applied_source = source
        try:
            return self.store.merge(current)
        finally:
            self._applied_source = None

    def has_expirable_tombstones(self) -> bool:
        """Return whether tombstones exist, and this replica was in sync recently enough to discard them."""
        return self._tombstones.has_expirable()

    def discard_expired_tombstones(self) -> None:
        """Discard the tombstones older than the horizon."""
        self._tombstones.discard_expired()

    # ------------------------------------------------------------ callbacks of the store

    def on_store_changed(self, records: list[StoreRecord]) -> None:
        """Log and index records that the store has just written; a callback for ``Store.on_change``."""
        for record in records:
            self.changes.add(record, self._applied_source)
        for record in records:
            self._index(record)
        self._observer.on_records_changed()

    def on_records_discarded(self, keys: list[str]) -> None:
        """Drop keys whose records the store has discarded; a callback for ``Store.on_discarded``."""
        for key in keys:
            self.changes.remove(key)
            self._tombstones.discard(key)

    # ------------------------------------------------------------ indexes

    def _index(self, record: StoreRecord) -> None:
        self._tombstones.on_record(record)
        if is_member_key(record.key):
            self.directory.update(record)
            self._observer.on_members_changed()
        elif record.key.startswith(REMOVED_PREFIX):
            self._index_removal(record)

    def _index_removal(self, record: StoreRecord) -> None:
        node = record.key.removeprefix(REMOVED_PREFIX)
        if record.value is None:
            self.directory.removed.discard(node)
            return
        self.directory.removed.add(node)
        self._observer.on_members_changed()
        if node != self.store.node:
            self.directory.members.pop(node, None)
            self._discard_states(node)
        self._observer.on_member_removed(node)

    def _discard_states(self, node: str) -> None:
        prefix = f"{STATE_PREFIX}{node}/"
        self.store.discard_records(
            [record.key for record in self.store.records() if record.key.startswith(prefix)]
        )

    def _is_obsolete(self, record: StoreRecord) -> bool:
        is_from_removed_member = record.node in self.directory.removed and record.node != self.store.node
        if is_from_removed_member and record.key.startswith(STATE_PREFIX):
            return True
        return self._tombstones.is_obsolete(record)

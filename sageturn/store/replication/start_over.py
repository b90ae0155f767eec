"""Starting over: a replica that was out of sync for long removes what the others may have deleted. No I/O.

``sync_status`` decides when that is due. The store releases what it withholds once it is in sync again.
"""

from __future__ import annotations

import logging

from sageturn.store.replication.sync_status import SyncStatus
from sageturn.store.store import Store

log = logging.getLogger(__name__)


class StartOver:
    """Removal of the records that may be deleted elsewhere, also after an operator has removed the member."""

    def __init__(self, store: Store, sync_status: SyncStatus) -> None:
        self._store = store
        self._sync_status = sync_status

    def remove_unverified_records(self) -> None:
        """Remove from the store what may be deleted elsewhere.

        A member that was removed and added again drops it. Any other withholds it until it is in sync, and so
        has the records and the tombstone floor of a replica that is.

        Raises:
            OSError: The disk accepts no write now; no record was removed.
        """
        store = self._store
        dropped = withheld = 0
        if store.replica_state.was_removed:
            dropped = store.drop_replicated_records()
        else:
            withheld = store.quarantine_records(self._sync_status.deletable_before)
        log.warning(
            "replica starts over node=%s reason=out_of_sync_beyond_horizon"
            " dropped_records=%d withheld_records=%d",
            store.node,
            dropped,
            withheld,
        )
        self._sync_status.on_started_over()

    def on_own_removal(self, source: str) -> None:
        """Handle the removal of this member by an operator; ``source`` says how it learned of that."""
        if not self._store.replica_state.was_removed:
            log.warning("member removed node=%s source=%s", self._store.node, source)
            self._store.mark_removed()

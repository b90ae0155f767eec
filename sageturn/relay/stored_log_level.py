"""The log level that an operator sets for every node at once, by a key of the store."""

from __future__ import annotations

import logging

from sageturn.store.records import StoreRecord
from sageturn.store.store import Store

LOG_LEVEL_KEY = "config/log_level"
LOG_LEVELS = ("DEBUG", "INFO", "WARNING", "ERROR")


class StoredLogLevel:
    """Applies the stored level at the start and at each change; a value that is no level is passed over."""

    def __init__(self, store: Store) -> None:
        self._store = store

    def on_store_change(self, records: list[StoreRecord]) -> None:
        """Apply the stored level if it is among the records that have changed; called by the store."""
        if any(record.key == LOG_LEVEL_KEY for record in records):
            self.apply()

    def apply(self) -> None:
        """Set the root logger's level to the stored one."""
        level = self._store.get(LOG_LEVEL_KEY)
        if level in LOG_LEVELS:
            logging.getLogger().setLevel(level)

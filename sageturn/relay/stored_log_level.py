"""Applies the log level that operators set for all nodes through a key of the store."""

from __future__ import annotations

import logging

from sageturn.store.records import StoreRecord
from sageturn.store.store import Store

LOG_LEVEL_KEY = "config/log_level"
LOG_LEVELS = ("DEBUG", "INFO", "WARNING", "ERROR")


class StoredLogLevel:
    """The stored log level, applied at the start and on each change; an invalid value is ignored."""

    def __init__(self, store: Store) -> None:
        self._store = store

    def on_store_change(self, records: list[StoreRecord]) -> None:
        """Apply the stored level if its record is among the changed ones. Called by the store."""
        if any(record.key == LOG_LEVEL_KEY for record in records):
            self.apply()

    def apply(self) -> None:
        """Set the root logger's level to the stored one."""
        level = self._store.get(LOG_LEVEL_KEY)
        if level in LOG_LEVELS:
            logging.getLogger().setLevel(level)

"""Remembers which clients were migrated, when and off which endpoint, and which are still awaited."""

from __future__ import annotations

from dataclasses import dataclass
from hashlib import blake2b

from sageturn.rebalance.options import RebalanceOptions

NO_CLIENT = 0  # the hash of a connection without a client key
CLIENT_HASH_BYTES = 8
MAX_BACKOFF_DOUBLINGS = 20


def client_hash(key: str) -> int:
    """Returns a 64-bit hash of a client's key; ``NO_CLIENT`` for an empty one.

    Two clients that share a hash are at worst both left alone.
    """
    if not key:
        return NO_CLIENT
    digest = blake2b(key.encode(), digest_size=CLIENT_HASH_BYTES).digest()
    return int.from_bytes(digest, "big") or 1


@dataclass(frozen=True, slots=True)
class MigrationRecord:
    """A client's last migration. Instants are of the relay's time."""

    migrated_ms: float
    source_endpoint: str  # empty where another relay has migrated the client
    migration_count: int  # recent migrations of this client, this one included
    excluded_until_ms: float  # not to be migrated again before
    by_planner: bool


class MigrationHistory:
    """Remembers migrated clients by the hashes of their keys, ``RebalanceOptions.remember`` at most.

    No client is forgotten early: without capacity for another, the planner migrates nobody.
    """

    def __init__(self, options: RebalanceOptions) -> None:
        self.options = options
        self._records: dict[int, MigrationRecord] = {}  # in the order of the migrations
        self._return_deadlines_ms: dict[int, float] = {}  # of clients that are awaited, in the same order

    def __len__(self) -> int:
        return len(self._records)

    @property
    def in_flight_count(self) -> int:
        """The number of migrated clients that are still awaited."""
        return len(self._return_deadlines_ms)

    def is_in_flight(self, client: int) -> bool:
        """Whether a client was migrated and is still awaited."""
        return client in self._return_deadlines_ms

    def may_migrate(self, client: int, now_ms: float) -> bool:
        """Whether a client may be migrated. One without a key can't be recognised later: it may not."""
        if client == NO_CLIENT:
            return False
        record = self._records.get(client)
        return record is None or now_ms >= record.excluded_until_ms

    def has_capacity_for(self, clients: int) -> bool:
        """Whether so many more clients can be remembered."""
        return len(self._records) + clients <= self.options.remember

    def last_migration(self, client: int) -> MigrationRecord | None:
        """Returns a client's last migration; None if none is remembered."""
        return self._records.get(client)

    def record_migration(self, client: int, source_endpoint: str, now_ms: float, by_planner: bool) -> None:
        """Records that a client is asked to reconnect, by the planner or by others."""
        if client == NO_CLIENT:
            return
        count = self._next_migration_count(self._records.pop(client, None), now_ms)
        backoff_s = self.options.again_s * 2.0 ** min(count - 1, MAX_BACKOFF_DOUBLINGS)
        excluded_until_ms = now_ms + min(self.options.again_most_s, backoff_s) * 1000.0
        while len(self._records) >= self.options.remember:
            # Reached only by migrations by others, which are never delayed.
            del self._records[next(iter(self._records))]
        self._records[client] = MigrationRecord(now_ms, source_endpoint, count, excluded_until_ms, by_planner)
        self._return_deadlines_ms.pop(client, None)  # to the end of the order
        self._return_deadlines_ms[client] = now_ms + self.options.back_within_s * 1000.0

    def record_reported_migration(self, client: int, now_ms: float) -> None:
        """Records a client that reports to have been migrated or disconnected, perhaps by another relay.

        It is not migrated again for a time, as if this relay had migrated it. Without capacity it is not
        remembered.
        """
        if client == NO_CLIENT or client in self._records or not self.has_capacity_for(1):
            return
        excluded_until_ms = now_ms + self.options.again_s * 1000.0
        self._records[client] = MigrationRecord(now_ms, "", 1, excluded_until_ms, by_planner=False)

    def record_return(self, client: int) -> MigrationRecord | None:
        """Records that a client is established. Returns its migration; None if it was not awaited."""
        if self._return_deadlines_ms.pop(client, None) is None:
            return None
        return self._records.get(client)

    def expire_in_flight(self, now_ms: float) -> int:
        """Stops awaiting the clients that have not returned in time. Returns how many they are."""
        overdue = []
        for client, deadline_ms in self._return_deadlines_ms.items():
            if deadline_ms > now_ms:
                break
            overdue.append(client)
        for client in overdue:
            del self._return_deadlines_ms[client]
        return len(overdue)

    def prune(self, now_ms: float) -> None:
        """Forgets, once the history is half full, the clients that may be migrated again."""
        if len(self._records) < self.options.remember // 2:
            return
        expired = [client for client, record in self._records.items() if now_ms >= record.excluded_until_ms]
        for client in expired:
            del self._records[client]
            self._return_deadlines_ms.pop(client, None)

    def _next_migration_count(self, previous: MigrationRecord | None, now_ms: float) -> int:
        max_exclusion_ms = self.options.again_most_s * 1000.0
        if previous is not None and now_ms < previous.migrated_ms + max_exclusion_ms:
            return previous.migration_count + 1
        return 1

"""Records which clients were migrated, when and off which endpoint, and which have yet to reconnect."""

from __future__ import annotations

from dataclasses import dataclass
from hashlib import blake2b

from sageturn.rebalance.options import RebalanceOptions

NO_CLIENT_HASH = 0  # stands for a missing client key
CLIENT_HASH_BYTES = 8
MAX_BACKOFF_DOUBLINGS = 20


def hash_client_key(key: str) -> int:
    """Return a 64-bit hash of a client's key; ``NO_CLIENT_HASH`` for an empty one.

    A collision is harmless: at worst neither of the two clients is migrated.
    """
    if not key:
        return NO_CLIENT_HASH
    digest = blake2b(key.encode(), digest_size=CLIENT_HASH_BYTES).digest()
    return int.from_bytes(digest, "big") or 1


@dataclass(frozen=True, slots=True)
class MigrationRecord:
    """Last migration of a client. Times are in the relay's time."""

    migrated_ms: float
    source_endpoint: str  # empty if the client reported the migration itself, perhaps by another relay
    migration_count: int  # consecutive recent migrations of this client, including this one
    excluded_until_ms: float  # earliest time of the next migration
    by_planner: bool


class MigrationHistory:
    """Record of at most ``RebalanceOptions.remember`` migrated clients, by the hashes of their keys.

    The planner's migrations evict no record: while the history is full, the planner migrates nobody.
    """

    def __init__(self, options: RebalanceOptions) -> None:
        self.options = options
        self._records: dict[int, MigrationRecord] = {}  # ordered by time of migration
        # Deadlines of the clients that have yet to reconnect, in the same order.
        self._return_deadlines_ms: dict[int, float] = {}

    def __len__(self) -> int:
        return len(self._records)

    @property
    def in_flight_count(self) -> int:
        """Number of migrated clients that have yet to reconnect and are not overdue."""
        return len(self._return_deadlines_ms)

    def is_in_flight(self, client_hash: int) -> bool:
        """Return True if a client was migrated, has yet to reconnect and is not overdue."""
        return client_hash in self._return_deadlines_ms

    def may_migrate(self, client_hash: int, now_ms: float) -> bool:
        """Return True if a client may be migrated. One without a key may not: it can't be recognised."""
        if client_hash == NO_CLIENT_HASH:
            return False
        record = self._records.get(client_hash)
        return record is None or now_ms >= record.excluded_until_ms

    def has_capacity_for(self, client_count: int) -> bool:
        """Return True if the history has capacity for this number of additional clients."""
        return len(self._records) + client_count <= self.options.remember

    def last_migration(self, client_hash: int) -> MigrationRecord | None:
        """Return a client's last migration; None if there is no record of one."""
        return self._records.get(client_hash)

    def record_migration(
        self, client_hash: int, source_endpoint: str, now_ms: float, by_planner: bool
    ) -> None:
        """Record that a client is asked to reconnect, by the planner or by the balancer or a drain."""
        if client_hash == NO_CLIENT_HASH:
            return
        count = self._next_migration_count(self._records.pop(client_hash, None), now_ms)
        backoff_s = self.options.again_s * 2.0 ** min(count - 1, MAX_BACKOFF_DOUBLINGS)
        excluded_until_ms = now_ms + min(self.options.again_most_s, backoff_s) * 1000.0
        while len(self._records) >= self.options.remember:
            # Only migrations by the balancer or a drain get here, since they are never delayed.
            del self._records[next(iter(self._records))]
        self._records[client_hash] = MigrationRecord(
            now_ms, source_endpoint, count, excluded_until_ms, by_planner
        )
        self._return_deadlines_ms.pop(client_hash, None)  # moves the client to the end of the order
        self._return_deadlines_ms[client_hash] = now_ms + self.options.back_within_s * 1000.0

    def record_reported_migration(self, client_hash: int, now_ms: float) -> None:
        """Record a client that reports that it was migrated or disconnected, perhaps by another relay.

        The client is not migrated again for ``RebalanceOptions.again_s``, as if this relay had migrated it.
        If the history is full, nothing is recorded.
        """
        if client_hash == NO_CLIENT_HASH or client_hash in self._records or not self.has_capacity_for(1):
            return
        excluded_until_ms = now_ms + self.options.again_s * 1000.0
        self._records[client_hash] = MigrationRecord(now_ms, "", 1, excluded_until_ms, by_planner=False)

    def record_return(self, client_hash: int) -> MigrationRecord | None:
        """Record that a client is established. Return its migration; None if it was not in flight."""
        if self._return_deadlines_ms.pop(client_hash, None) is None:
            return None
        return self._records.get(client_hash)

    def expire_in_flight(self, now_ms: float) -> int:
        """Stop waiting for the clients that have not reconnected in time. Return their number."""
        overdue = []
        for client_hash, deadline_ms in self._return_deadlines_ms.items():
            if deadline_ms > now_ms:
                break
            overdue.append(client_hash)
        for client_hash in overdue:
            del self._return_deadlines_ms[client_hash]
        return len(overdue)

    def prune(self, now_ms: float) -> None:
        """If the history is at least half full, remove the clients that may be migrated again."""
        if len(self._records) < self.options.remember // 2:
            return
        expired = [
            client_hash for client_hash, record in self._records.items() if now_ms >= record.excluded_until_ms
        ]
        for client_hash in expired:
            del self._records[client_hash]
            self._return_deadlines_ms.pop(client_hash, None)

    def _next_migration_count(self, previous: MigrationRecord | None, now_ms: float) -> int:
        max_exclusion_ms = self.options.again_most_s * 1000.0
        if previous is not None and now_ms < previous.migrated_ms + max_exclusion_ms:
            return previous.migration_count + 1
        return 1

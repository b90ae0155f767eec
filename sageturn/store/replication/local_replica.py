"""What the parts of a session read of the replica that they belong to."""

from __future__ import annotations

from typing import Protocol

from sageturn.store.replication.changes import ChangeLogSet
from sageturn.store.store import Store


class LocalReplica(Protocol):
    """Implemented by ``replica.Replica``. ``changes`` is replaced when a new incarnation begins."""

    store: Store
    changes: ChangeLogSet

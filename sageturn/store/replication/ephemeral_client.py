"""An ephemeral client: a short-lived replica of the store, as a command-line tool needs it."""

from __future__ import annotations

from sageturn.store.replication.member import open_ephemeral_client

__all__ = ["open_ephemeral_client"]

"""A running member of the replicated store, with its own sockets."""

from __future__ import annotations

from functools import partial
from random import Random

from support.replication_fleet import SeedDialer

from sageturn.net.admission import AdmissionController, ProcessLimits
from sageturn.store.channel import read_secret
from sageturn.store.replication.member import ReplicationMember
from sageturn.store.replication.options import ReplicationOptions
from sageturn.store.store import Store

SECRET = read_secret("one secret")


def start_member(store: Store, *peers: tuple[str, int], secret: bytes = SECRET) -> ReplicationMember:
    """Start a member that dials only ``peers``; the caller stops it."""
    options = ReplicationOptions(("127.0.0.1", 0), peers, secret)
    member = ReplicationMember(
        store,
        options,
        AdmissionController(ProcessLimits(64, 64.0)),
        Random(1),
        partial(SeedDialer, seeds=peers),
    )
    member.start()
    return member

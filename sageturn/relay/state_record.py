"""Publishes a relay's state record, ``state/NODE/relay``, which operators can read at any replica."""

from __future__ import annotations

import asyncio
import logging
from collections.abc import Callable, Mapping
from dataclasses import dataclass

from sageturn.store.store import Store

log = logging.getLogger(__name__)

STATE_INTERVAL_S = 5.0

PublishState = Callable[[dict[str, object]], None]


@dataclass(frozen=True, slots=True)
class RelayState:
    """State that a relay reports about itself."""

    established_connections: int
    closed_connections: Mapping[str, int]  # counts since the start, keyed by close reason in lower case
    dropped_flows: int
    invalid_report_values: Mapping[str, int]  # number of invalid values, keyed by the load report's field
    replication: Mapping[str, object] | None  # None if the store isn't replicated


def encode_relay_state(state: RelayState) -> dict[str, object]:
    """Return the stored form, whose keys must not change: other nodes and operators' tools read them."""
    encoded: dict[str, object] = {
        "standing": state.established_connections,
        "ended": dict(state.closed_connections),
        "flows_dropped": state.dropped_flows,
        "reports_dropped": dict(state.invalid_report_values),
    }
    if state.replication is not None:
        encoded["store"] = state.replication
    return encoded


def make_state_publisher(store: Store, subsystem: str) -> PublishState:
    """Return a function that stores a subsystem's state under this node's name, if it has changed.

    A failed write is only logged: the next report makes up for it, and it must not end the relay.
    """
    key = f"state/{store.node}/{subsystem}"

    def publish(state: dict[str, object]) -> None:
        if state == store.get(key):
            return
        try:
            store.put(key, state)
        except OSError as error:
            log.warning("state report not stored key=%s reason=%s", key, error)

    return publish


class RelayStateReporter:
    """Actor that publishes the relay's own state, at an interval that grows with the number of replicas."""

    def __init__(
        self,
        publish: PublishState,
        collect: Callable[[], RelayState],
        replication_interval_s: Callable[[], float],
    ) -> None:
        self._publish = publish
        self._collect = collect
        self._replication_interval_s = replication_interval_s

    def report(self) -> None:
        """Publish the current state."""
        self._publish(encode_relay_state(self._collect()))

    async def run(self) -> None:
        """Publish the state at each interval until cancelled."""
        while True:
            self.report()
            await asyncio.sleep(max(STATE_INTERVAL_S, self._replication_interval_s()))

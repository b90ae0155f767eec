"""The record ``state/NODE/relay``, by which operators read at any replica what a relay has done."""

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
    """The state that one relay reports of itself."""

    established_connections: int
    closed_connections: Mapping[str, int]  # since the start, by the reason's name in lower case
    dropped_flows: int
    invalid_report_values: Mapping[str, int]  # by the load report's field
    replication: Mapping[str, object] | None  # None where the store isn't replicated


def encode_relay_state(state: RelayState) -> dict[str, object]:
    """Return the stored form. Other nodes and operators' tools read its keys, which stay as they are."""
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
    """Return a function that stores a subsystem's state for this node, if it has changed.

    A state that the disk does not take now is left to the next report: it is not worth the relay.
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
    """Publishes the relay's own state at an interval that grows with the number of replicas."""

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
        """Publish the state as it is now."""
        self._publish(encode_relay_state(self._collect()))

    async def run(self) -> None:
        """Report at the interval until cancelled."""
        while True:
            self.report()
            await asyncio.sleep(max(STATE_INTERVAL_S, self._replication_interval_s()))

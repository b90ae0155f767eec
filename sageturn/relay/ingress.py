"""Opens and closes all of the relay's listeners together."""

from __future__ import annotations

import asyncio
from collections.abc import Sequence

from sageturn.config.platform import RelayConfig
from sageturn.net.admission import AdmissionController
from sageturn.net.descriptors import set_descriptor_limit
from sageturn.net.listener import Listener
from sageturn.relay.subsystem import Subsystem
from sageturn.relay.supervisor import ActorSupervisor


class RelayIngress(Subsystem):
    """All listeners of the relay; implements the core's ``Ingress``."""

    def __init__(self, listeners: Sequence[Listener], admission: AdmissionController) -> None:
        self._listeners = listeners
        self._admission = admission

    def start(self, actors: ActorSupervisor) -> None:
        """Open all listeners."""
        for listener in self._listeners:
            listener.start_listening()

    async def reload(self, old: RelayConfig, new: RelayConfig) -> None:
        """Apply the new process limits, which hold for new connections."""
        set_descriptor_limit(new.limits.sockets)
        self._admission.limits = new.limits

    async def stop(self) -> None:
        """Close the listeners, and cut off the connections that remain."""
        for listener in self._listeners:
            listener.close()
            await listener.cancel_connections()

    def pending_connections(self) -> int:
        """Return how many accepted connections have sent no request yet."""
        return self._admission.pending_count

    def stop_accepting(self) -> None:
        """Accept no connections but those in the backlog, and have all pending connections answered."""
        for listener in self._listeners:
            listener.stop_accepting()
        self._admission.evict_all_pending()

    async def wait_closed(self, timeout_s: float) -> None:
        """Wait until all connections have closed, for ``timeout_s`` seconds at most."""
        await asyncio.gather(*(listener.wait_until_idle(timeout_s) for listener in self._listeners))

"""All of the relay's listeners, as its graceful shutdown sees them."""

from __future__ import annotations

import asyncio
from collections.abc import Sequence

from sageturn.config.platform import RelayConfig
from sageturn.net.admission import AdmissionController
from sageturn.net.listener import Listener
from sageturn.net.sockets import limit_descriptors
from sageturn.relay.subsystem import Subsystem
from sageturn.relay.supervisor import ActorSupervisor


class RelayIngress(Subsystem):
    """Opens and closes the listeners; implements the core's ``Ingress``."""

    def __init__(self, listeners: Sequence[Listener], admission: AdmissionController) -> None:
        self._listeners = listeners
        self._admission = admission

    def start(self, actors: ActorSupervisor) -> None:
        for listener in self._listeners:
            listener.open()

    async def reload(self, old: RelayConfig, new: RelayConfig) -> None:
        limit_descriptors(new.limits.sockets)
        self._admission.limits = new.limits

    async def stop(self) -> None:
        for listener in self._listeners:
            listener.close()
            await listener.cancel()

    def pending_connections(self) -> int:
        return self._admission.awaiting_request

    def stop_accepting(self) -> None:
        for listener in self._listeners:
            listener.shut()
        self._admission.evict_all()

    async def wait_closed(self, timeout_s: float) -> None:
        await asyncio.gather(*(listener.finish(timeout_s) for listener in self._listeners))

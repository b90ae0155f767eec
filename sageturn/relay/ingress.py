"""All of the relay's listeners, as its graceful shutdown sees them."""

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
    """Opens and closes the listeners; implements the core's ``Ingress``."""

    def __init__(self, listeners: Sequence[Listener], admission: AdmissionController) -> None:
        self._listeners = listeners
        self._admission = admission

    def start(self, actors: ActorSupervisor) -> None:
        for listener in self._listeners:
            listener.start_listening()

    async def reload(self, old: RelayConfig, new: RelayConfig) -> None:
        set_descriptor_limit(new.limits.sockets)
        self._admission.limits = new.limits

    async def stop(self) -> None:
        for listener in self._listeners:
            listener.close()
            await listener.cancel_connections()

    def pending_connections(self) -> int:
        return self._admission.awaiting_request

    def stop_accepting(self) -> None:
        for listener in self._listeners:
            listener.stop_accepting()
        self._admission.evict_all_pending()

    async def wait_closed(self, timeout_s: float) -> None:
        await asyncio.gather(*(listener.wait_until_idle(timeout_s) for listener in self._listeners))

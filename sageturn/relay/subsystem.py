"""The interface between the relay's composition root and each of its parts."""

from __future__ import annotations

from sageturn.config.platform import RelayConfig
from sageturn.relay.supervisor import ActorSupervisor


class Subsystem:
    """A part of the relay with its own lifecycle. Each hook does nothing unless it is overridden."""

    def start(self, actors: ActorSupervisor) -> None:
        """Start the subsystem; ``actors`` runs its tasks until the relay stops."""

    async def reload(self, old: RelayConfig, new: RelayConfig) -> None:
        """Apply ``new``, which was validated when it was read: must not fail and leave it half applied."""

    async def stop(self) -> None:
        """Release all resources at once. The supervisor stops the actors."""

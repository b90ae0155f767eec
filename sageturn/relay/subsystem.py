"""The interface between the relay's composition root and each of its parts."""

from __future__ import annotations

from sageturn.config.platform import RelayConfig
from sageturn.relay.supervisor import ActorSupervisor


class Subsystem:
    """A part of the relay with a lifetime of its own. Each hook does nothing unless it is overridden."""

    def start(self, actors: ActorSupervisor) -> None:
        """Begin to work; what runs until the relay stops is given to ``actors``."""

    async def reload(self, old: RelayConfig, new: RelayConfig) -> None:
        """Take ``new``, which was checked when it was read: nothing here may fail half way."""

    async def stop(self) -> None:
        """Let go of everything at once; the actors are stopped by their supervisor."""

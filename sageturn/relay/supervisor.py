"""Runs the relay's actors, and detects the failure of one."""

from __future__ import annotations

import asyncio
import logging
from collections.abc import Coroutine

from sageturn.core.tasks import cancel_and_wait

log = logging.getLogger(__name__)


class ActorSupervisor:
    """Owner of all long-running tasks of the relay. A task that ends with an error is a program fault."""

    def __init__(self) -> None:
        self._actors: list[asyncio.Task[None]] = []
        self._first_failure: BaseException | None = None
        self.failed = asyncio.Event()  # set once any actor has failed

    def spawn(self, name: str, actor_run: Coroutine[None, None, None]) -> None:
        """Run an actor until ``stop``. Its failure is logged and sets ``failed``, whenever it was spawned.

        Args:
            name: the name of the actor in the log.
            actor_run: the coroutine that runs the actor until it is cancelled.
        """
        actor = asyncio.create_task(actor_run, name=name)
        self._actors.append(actor)
        actor.add_done_callback(self._on_actor_done)

    def _on_actor_done(self, actor: asyncio.Task[None]) -> None:
        if actor.cancelled() or (error := actor.exception()) is None:
            return
        log.error("actor failed actor=%s", actor.get_name(), exc_info=error)
        if self._first_failure is None:
            self._first_failure = error
        self.failed.set()

    async def wait_until_failed_or(self, waiting: Coroutine[None, None, object]) -> None:
        """Wait until ``waiting`` returns or an actor has failed."""
        done = asyncio.ensure_future(waiting)
        failed = asyncio.ensure_future(self.failed.wait())
        try:
            await asyncio.wait((done, failed), return_when=asyncio.FIRST_COMPLETED)
        finally:
            await cancel_and_wait(failed)
            await cancel_and_wait(done)

    def raise_first_failure(self) -> None:
        """Raise the error of the first actor that has failed, if any has."""
        if self._first_failure is not None:
            raise self._first_failure

    async def stop(self) -> None:
        """Cancel all actors in the order in which they were spawned, and wait for each."""
        for actor in self._actors:
            await cancel_and_wait(actor)

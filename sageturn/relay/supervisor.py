"""Runs the relay's actors, and ends the relay when one of them fails."""

from __future__ import annotations

import asyncio
from collections.abc import Coroutine

from sageturn.core.tasks import cancel_and_wait


class ActorSupervisor:
    """Owns every long-running task of the relay. One that ends by an error is a fault of the program."""

    def __init__(self) -> None:
        self._actors: list[asyncio.Future[None]] = []
        self._failures: asyncio.Queue[BaseException] = asyncio.Queue()

    def spawn(self, running: Coroutine[None, None, None]) -> None:
        """Run an actor until ``stop``; its failure must not go unseen, whenever it was spawned."""
        actor = asyncio.ensure_future(running)
        self._actors.append(actor)
        actor.add_done_callback(self._on_actor_done)

    def _on_actor_done(self, actor: asyncio.Future[None]) -> None:
        if not actor.cancelled() and (error := actor.exception()) is not None:
            self._failures.put_nowait(error)

    async def wait_unless_failed(self, waiting: Coroutine[None, None, object]) -> None:
        """Return when ``waiting`` does; raise the error of the first actor that fails before."""
        done = asyncio.ensure_future(waiting)
        failed = asyncio.ensure_future(self._failures.get())
        try:
            await asyncio.wait((done, failed), return_when=asyncio.FIRST_COMPLETED)
            if failed.done():
                raise failed.result()
            await done
        finally:
            await cancel_and_wait(failed)
            await cancel_and_wait(done)

    async def stop(self) -> None:
        """Cancel all actors in the order in which they were spawned, and wait for each."""
        for actor in self._actors:
            await cancel_and_wait(actor)

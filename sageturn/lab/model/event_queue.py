"""Queue of scheduled calls in simulated time."""

from __future__ import annotations

import heapq
from collections.abc import Callable
from typing import Any, TypeVar

NEVER_S = 1e18

Argument = TypeVar("Argument")


class EventQueue:
    """Priority queue of calls with one argument each; calls with the same time keep their order."""

    def __init__(self) -> None:
        self._entries: list[tuple[float, int, Callable[[Any], None], Any]] = []
        self._sequence = 0

    def schedule(self, due_s: float, handler: Callable[[Argument], None], argument: Argument) -> None:
        """Schedule the call ``handler(argument)`` at ``due_s``."""
        self._sequence += 1
        heapq.heappush(self._entries, (due_s, self._sequence, handler, argument))

    def next_due_s(self) -> float:
        """Return the time of the next call; ``NEVER_S`` if there is none."""
        return self._entries[0][0] if self._entries else NEVER_S

    def run_next(self) -> None:
        """Remove the call that is due next, and run it."""
        _, _, handler, argument = heapq.heappop(self._entries)
        handler(argument)

    def pending_arguments(self, handler: Callable[[Argument], None]) -> list[Argument]:
        """Return the arguments of a handler's scheduled calls, in an unspecified but reproducible order."""
        return [argument for _, _, scheduled, argument in self._entries if scheduled == handler]

    def clear(self) -> None:
        """Remove all scheduled calls."""
        self._entries.clear()

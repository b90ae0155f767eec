"""A live host, without a wire: what it carries, how long it takes to set up, and when it falls over."""

from __future__ import annotations

from collections import deque
from dataclasses import dataclass

MAX_UTILIZATION = 0.97  # of its capacity: set-up times stop growing there, and the host turns new ones away


@dataclass(eq=False)
class EndpointModel:
    """Times in seconds on one clock that is handed in; loads in usual connections."""

    name: str
    kind: str
    size: float
    capacity: float
    zone: str = ""
    started_s: float = -1e9  # long ago
    set_up_ms: float = 12.0
    group_cost: float = 1.5
    usual_load: float = 1.0
    initial_capacity_ratio: float = 0.12
    warm_s: float = 24.0
    cold_overload_multiple: float = 4.0
    fall_s: float = 3.0
    draining: bool = False
    fallen: bool = False
    slow: float = 1.0  # times slower than usual
    piled_s: float = 0.0  # work piled up, in seconds of its present capacity
    load: float = 0.0
    count: int = 0
    peak_part: float = 0.0  # of the bound on its intake while it was cold, the most that was used

    def __post_init__(self) -> None:
        self._groups: dict[str, int] = {}
        self._intake: deque[tuple[float, float]] = deque()
        self._taken = 0.0

    def warm(self, now_s: float) -> float:
        """The part of its capacity that it can do: it gets there evenly after its start."""
        age = (now_s - self.started_s) / self.warm_s
        return (
            1.0
            if age >= 1.0
            else self.initial_capacity_ratio + (1.0 - self.initial_capacity_ratio) * max(0.0, age)
        )

    def fill(self, now_s: float) -> float:
        groups = self.group_cost * self.usual_load * len(self._groups)
        return (self.load + groups) * self.slow / (self.capacity * self.warm(now_s))

    def pile_up(self, now_s: float, step_s: float) -> None:
        """What it is asked for beyond its capacity waits; what it has spare works that off."""
        self.piled_s = max(0.0, self.piled_s + (self.fill(now_s) - 1.0) * step_s) if self.count else 0.0

    @property
    def groups(self) -> int:
        return len(self._groups)

    def held(self) -> float:
        """Its load, with what its groups cost."""
        return self.load + self.group_cost * self.usual_load * len(self._groups)

    def set_up_takes_ms(self, now_s: float) -> float:
        """A queue's growth: at half its capacity twice as long as when idle; a fast one is quicker."""
        idle_ms = self.set_up_ms * self.slow / self.size
        return idle_ms / (1.0 - min(MAX_UTILIZATION, self.fill(now_s))) + self.piled_s * 1000.0

    def admits(self, now_s: float, load: float) -> bool:
        """One more set-up, counted as sent whether it is taken or not; False when it is turned away."""
        self.take_in(now_s, load)
        return not (self.fallen or self.draining or self.fill(now_s) >= MAX_UTILIZATION)

    def take_in(self, now_s: float, load: float, count: int = 1) -> None:
        """``count`` set-ups were sent, of so much load together.

        A cold host takes new work no faster than fills it over its warm-up; sent too many times that for a
        while, it falls over and stays down.
        """
        self._intake.append((now_s, load))
        self._taken += load
        while self._intake[0][0] <= now_s - self.fall_s:
            self._taken -= self._intake.popleft()[1]
        if now_s - self.started_s < self.warm_s:
            pace = self.capacity * self.warm(now_s) / self.warm_s
            bound = self.cold_overload_multiple * pace * self.fall_s
            self.peak_part = max(self.peak_part, self._taken / bound)
            # A few connections more or less are chance, however small the host.
            if count and self._taken > bound + 4.0 * self.usual_load:
                self.fallen = True

    def add(self, load: float, group: str) -> None:
        self.load += load
        self.count += 1
        if group:
            self._groups[group] = self._groups.get(group, 0) + 1

    def remove(self, load: float, group: str) -> None:
        self.load = max(0.0, self.load - load)
        self.count -= 1
        if group:
            left = self._groups[group] - 1
            if left:
                self._groups[group] = left
            else:
                del self._groups[group]

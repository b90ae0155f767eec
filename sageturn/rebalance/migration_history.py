"""Which clients were moved, when and off which host; who of them is still on the way."""

from __future__ import annotations

from dataclasses import dataclass
from hashlib import blake2b

from sageturn.rebalance.options import RebalanceOptions


def client_number(key: str) -> int:
    """64 bits for a client's key; 0 for none. Two that share one are at worst both left alone."""
    return int.from_bytes(blake2b(key.encode(), digest_size=8).digest(), "big") or 1 if key else 0


@dataclass(slots=True)
class Moved:
    at_ms: float
    off: str  # the host that it was moved off
    group: str
    times: int
    until_ms: float  # not to be moved again before
    by_plan: bool


class MigrationHistory:
    """Bounded, and nobody is forgotten early: where there is no room for another, nobody is moved."""

    def __init__(self, options: RebalanceOptions) -> None:
        self.options = options
        self._moved: dict[int, Moved] = {}  # in the order of their last moves
        self.on_way: dict[int, float] = {}  # until when each is awaited, in that order too

    def __len__(self) -> int:
        return len(self._moved)

    def settled(self, client: int, now_ms: float) -> bool:
        """Whether a client may be moved. One without a key cannot be known again, and is left alone."""
        moved = self._moved.get(client)
        return client != 0 and (moved is None or now_ms >= moved.until_ms)

    def room_for(self, more: int) -> bool:
        return len(self._moved) + more <= self.options.remember

    def move(self, client: int, off: str, group: str, now_ms: float, by_plan: bool) -> None:
        if not client:
            return
        before = self._moved.pop(client, None)
        long_ms = self.options.again_most_s * 1000.0
        times = before.times + 1 if before and now_ms < before.at_ms + long_ms else 1
        wait_s = min(self.options.again_most_s, self.options.again_s * 2.0 ** min(times - 1, 20))
        while len(self._moved) >= self.options.remember:
            del self._moved[next(iter(self._moved))]  # only for moves by others, which are never held back
        self._moved[client] = Moved(now_ms, off, group, times, now_ms + wait_s * 1000.0, by_plan)
        self.on_way.pop(client, None)
        self.on_way[client] = now_ms + self.options.back_within_s * 1000.0

    def returned(self, client: int, now_ms: float) -> None:
        """One that says it was moved or broken off, perhaps at another relay, which this one is not told of.

        It is left alone like one that this relay moved. For want of room it may go unremembered.
        """
        if client and client not in self._moved and self.room_for(1):
            until_ms = now_ms + self.options.again_s * 1000.0
            self._moved[client] = Moved(now_ms, "", "", 1, until_ms, False)

    def last_move(self, client: int) -> Moved | None:
        return self._moved.get(client)

    def stands(self, client: int) -> Moved | None:
        """It stands again: what is known of its move, if it was awaited."""
        return self._moved.get(client) if self.on_way.pop(client, None) is not None else None

    def lost(self, now_ms: float) -> int:
        """How many have not come back in time; they are no longer awaited."""
        late = []
        for client, until_ms in self.on_way.items():
            if until_ms > now_ms:
                break
            late.append(client)
        for client in late:
            del self.on_way[client]
        return len(late)

    def forget(self, now_ms: float) -> None:
        """Those whose time is over, once there are many; how often they were moved is forgotten with them."""
        if len(self._moved) < self.options.remember // 2:
            return
        for client in [c for c, moved in self._moved.items() if now_ms >= moved.until_ms]:
            del self._moved[client]
            self.on_way.pop(client, None)

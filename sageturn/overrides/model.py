"""Overrides, as the sum of the words said of them."""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass

from sageturn.overrides.ops import OverrideOperation, OverridePayload


@dataclass(frozen=True, slots=True)
class Override:
    """``until_ms`` is an instant of Unix time, and the first at which it is no longer in force."""

    id: str
    body: OverridePayload
    set_by: str
    set_ms: float
    why: str
    until_ms: float
    until_by: str  # who said so last
    revision: int  # of the last word that counts
    revoked_by: str = ""
    forced: bool = False

    @property
    def revoked(self) -> bool:
        return bool(self.revoked_by)

    @property
    def order(self) -> tuple[float, str]:
        """In which the guard weighs them: whoever was first stands, on every relay alike."""
        return self.set_ms, self.id

    def lapsed(self, now_ms: float) -> bool:
        return now_ms >= self.until_ms


def fold(ops: Iterable[OverrideOperation], longest_ms: float) -> Override | None:
    """The override that these words make; None while the word that sets it is not there.

    - Of several that set it under one id, the one with the least key counts.
    - The end is what the last word (by revision, time, key) that tells one says, and no later than
      ``longest_ms`` after that word was said.
    - Once revoked it stays so, whatever else was said: an extension made on the other side of a split must
      not bring back what somebody has ended.
    """
    words = list(ops)
    first = min((op for op in words if op.word == "set"), key=lambda op: op.key, default=None)
    if first is None or first.body is None:
        return None
    # An extension counts from what it extends on; one for another setting under the same id does too.
    telling = [op for op in words if op.word == "extend" or op is first]
    last = max(telling, key=lambda op: op.order)
    revokes = [op for op in words if op.word == "revoke"]
    revoke = min(revokes, key=lambda op: op.order, default=None)
    return Override(
        id=first.override,
        body=first.body,
        set_by=first.operator,
        set_ms=first.at_ms,
        why=first.why,
        until_ms=min(last.until_ms, last.at_ms + longest_ms),
        until_by=last.operator,
        revision=max(op.revision for op in words),
        revoked_by=revoke.operator if revoke else "",
        forced=first.forced,
    )

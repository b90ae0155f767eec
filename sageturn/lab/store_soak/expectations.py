"""What the acknowledgements of a store soak promise: the values that a key may have at the end."""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass, field

Value = int | None  # None if the key was deleted, or never written


@dataclass(slots=True)
class KeyExpectation:
    """Values that one key may have.

    Attributes:
        acknowledged: The value of the last acknowledged write.
        unknown: Values of later writes whose outcome the client does not know.
    """

    acknowledged: Value = None
    unknown: list[Value] = field(default_factory=list)

    def allows(self, value: Value) -> bool:
        """Return whether the key may have this value."""
        return value == self.acknowledged or value in self.unknown


class Expectations:
    """The expectations of all keys. Writes follow each other: one begins once the last one has ended."""

    def __init__(self) -> None:
        self.keys: dict[str, KeyExpectation] = {}

    def on_acknowledged(self, key: str, value: Value) -> None:
        """Handle a write that was acknowledged: nothing older may come back."""
        self.keys[key] = KeyExpectation(value)

    def on_unknown(self, key: str, value: Value) -> None:
        """Handle a write that may or may not have been applied."""
        self.keys.setdefault(key, KeyExpectation()).unknown.append(value)

    def violations(self, member: str, found: Mapping[str, Value]) -> list[str]:
        """Return a text for each key whose value at a member breaks a promise."""
        return [
            f"{member}: {key} is {found[key]}, acknowledged was {expectation.acknowledged}"
            f" (unknown: {expectation.unknown})"
            for key, expectation in self.keys.items()
            if not expectation.allows(found[key])
        ]

"""Objects of a configuration, read key by key; every fault names the path to its key."""

from __future__ import annotations

from collections.abc import Collection
from typing import Any, TypeVar

T = TypeVar("T")
NUMBER_MOST = 1e9  # no count or time in a file is near it; it keeps whole numbers within the system's


class ConfigError(ValueError):
    """The text names the faulty key."""


class ConfigSection:
    """An object of a configuration file; every fault names the path to its key."""

    def __init__(self, values: Any, where: str, nulls: bool = False) -> None:
        """``nulls``: a value that is null counts as absent, here and in the sections within."""
        if not isinstance(values, dict):
            raise ConfigError(f"{where or 'the top'}: must be an object")
        self._values = {k: v for k, v in values.items() if v is not None} if nulls else values
        self._where, self._nulls = where, nulls

    def path(self, key: str) -> str:
        return f"{self._where}.{key}" if self._where else key

    def get(self, key: str, kind: type[T] | tuple[type[T], ...], default: T | None = None) -> T:
        value = self._values.get(key, default)
        if value is None:
            raise ConfigError(f"{self.path(key)}: is missing")
        if not isinstance(value, kind) or (isinstance(value, bool) and kind is not bool):
            raise ConfigError(f"{self.path(key)}: has the wrong type")
        return value

    def has(self, key: str) -> bool:
        return key in self._values

    def number(
        self, key: str, default: float | None = None, least: float = 0.0, most: float = NUMBER_MOST
    ) -> float:
        return self.numeric(key, self.get(key, (int, float), default), least, most)

    def numeric(self, key: str, value: Any, least: float = 0.0, most: float = NUMBER_MOST) -> float:
        if isinstance(value, bool) or not isinstance(value, (int, float)):
            raise ConfigError(f"{self.path(key)}: has the wrong type")
        if not least <= value <= most:  # JSON as Python reads it has NaN and Infinity too
            raise ConfigError(f"{self.path(key)}: must be from {least:g} to {most:g}")
        return float(value)

    def numbers(self, key: str) -> list[float]:
        return [self.numeric(f"{key}[{k}]", value) for k, value in enumerate(self.get(key, list, []))]

    def whole(self, key: str, default: int | None = None, least: int = 0, most: float = NUMBER_MOST) -> int:
        value = self.number(key, default, least, most)
        if value != int(value):
            raise ConfigError(f"{self.path(key)}: must be a whole number")
        return int(value)

    def one_of(self, key: str, words: Collection[str], default: str) -> str:
        value = self.get(key, str, default)
        if value not in words:
            raise ConfigError(f"{self.path(key)}: must be one of {', '.join(words)}")
        return value

    def sections(self, key: str, default: list[Any] | None = None) -> list[ConfigSection]:
        """The objects of a list."""
        items = enumerate(self.get(key, list, default))
        return [ConfigSection(value, f"{self.path(key)}[{k}]", self._nulls) for k, value in items]

    def section(self, key: str) -> ConfigSection:
        return ConfigSection(self._values.get(key, {}), self.path(key), self._nulls)

    def only(self, *keys: str) -> None:
        """A mistyped key in an operator's file must not be passed over in silence."""
        for key in self._values:
            if key not in keys:
                raise ConfigError(f"{self.path(key)}: is unknown")

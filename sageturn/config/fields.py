"""Typed access to the objects of a configuration, key by key; every error names the path to its key."""

from __future__ import annotations

from collections.abc import Collection
from typing import Any, TypeVar

from sageturn.config.errors import ConfigError
from sageturn.net.addresses import Address, parse_address

T = TypeVar("T")
MAX_NUMBER = 1e9  # no count or time in a file is near it; it keeps integers within what the system takes
WRONG_TYPE = "has the wrong type"


def decode_address(path: str, text: str) -> Address:
    """Read ``HOST:PORT``, as found at ``path``."""
    try:
        return parse_address(text)
    except ValueError as error:
        raise ConfigError(path, str(error)) from error


class ConfigSection:
    """One object of a configuration. Where a method takes no default, or None, the key must be there."""

    def __init__(self, values: Any, path: str, null_is_absent: bool = False) -> None:
        """``null_is_absent``: a key whose value is null counts as absent, in sections within this one too."""
        if not isinstance(values, dict):
            raise ConfigError(path or "the top", "must be an object")
        if null_is_absent:
            values = {key: value for key, value in values.items() if value is not None}
        self._values = values
        self._path = path
        self._null_is_absent = null_is_absent

    def path(self, key: str) -> str:
        """The path to ``key`` from the top of the file, for messages."""
        return f"{self._path}.{key}" if self._path else key

    def contains(self, key: str) -> bool:
        """Whether the key is there, with whatever value."""
        return key in self._values

    def reject_unknown_keys(self, *known_keys: str) -> None:
        """Raise for a mistyped key, which must not be passed over in an operator's file."""
        for key in self._values:
            if key not in known_keys:
                raise ConfigError(self.path(key), "is unknown")

    def text(self, key: str, default: str | None = None) -> str:
        """A string."""
        return self._value(key, str, default)

    def flag(self, key: str, default: bool | None = None) -> bool:
        """True or false."""
        return self._value(key, bool, default)

    def list_of_any(self, key: str, default: list[Any] | None = None) -> list[Any]:
        """A list whose items the caller checks."""
        return self._value(key, list, default)

    def dict_of_any(self, key: str, default: dict[str, Any] | None = None) -> dict[str, Any]:
        """An object whose keys and values the caller checks."""
        return self._value(key, dict, default)

    def number(
        self, key: str, default: float | None = None, minimum: float = 0.0, maximum: float = MAX_NUMBER
    ) -> float:
        """A number, integer or not, within the bounds."""
        return self._check_number(key, self._value(key, (int, float), default), minimum, maximum)

    def number_list(self, key: str) -> list[float]:
        """A list of numbers from 0; empty where the key is absent."""
        values = enumerate(self.list_of_any(key, []))
        return [self._check_number(f"{key}[{index}]", value, 0.0, MAX_NUMBER) for index, value in values]

    def integer(
        self, key: str, default: int | None = None, minimum: int = 0, maximum: float = MAX_NUMBER
    ) -> int:
        """A number without a fraction; 3.0 is one, too."""
        value = self.number(key, default, minimum, maximum)
        if value != int(value):
            raise ConfigError(self.path(key), "must be a whole number")
        return int(value)

    def truncated_integer(self, key: str, default: int, minimum: int = 0) -> int:
        """A number of which a fraction is dropped."""
        return int(self.number(key, default, minimum))

    def ratio(self, key: str, default: float) -> float:
        """A number from 0 to 1."""
        value = self.number(key, default)
        if value > 1.0:
            raise ConfigError(self.path(key), "must be from 0 to 1")
        return value

    def one_of(self, key: str, choices: Collection[str], default: str) -> str:
        """A string among ``choices``."""
        value = self.text(key, default)
        if value not in choices:
            raise ConfigError(self.path(key), f"must be one of {', '.join(choices)}")
        return value

    def names(self, key: str, known_names: list[str], default: list[str]) -> list[str]:
        """A list of names, each among ``known_names``."""
        names = self.list_of_any(key, default)
        for index, name in enumerate(names):
            if name not in known_names:
                raise ConfigError(f"{self.path(key)}[{index}]", f"must be one of {', '.join(known_names)}")
        return names

    def address(self, key: str) -> Address:
        """An address, written ``HOST:PORT``."""
        return decode_address(self.path(key), self.text(key))

    def addresses(self, key: str) -> list[Address]:
        """A list of addresses; empty where the key is absent."""
        addresses = []
        for index, text in enumerate(self.list_of_any(key, [])):
            path = f"{self.path(key)}[{index}]"
            if not isinstance(text, str):
                raise ConfigError(path, WRONG_TYPE)
            addresses.append(decode_address(path, text))
        return addresses

    def section(self, key: str) -> ConfigSection:
        """The object at ``key``; an empty one where the key is absent."""
        return ConfigSection(self._values.get(key, {}), self.path(key), self._null_is_absent)

    def sections(self, key: str, default: list[Any] | None = None) -> list[ConfigSection]:
        """The objects of a list."""
        values = enumerate(self.list_of_any(key, default))
        return [
            ConfigSection(value, f"{self.path(key)}[{index}]", self._null_is_absent)
            for index, value in values
        ]

    def _value(self, key: str, kind: type[T] | tuple[type[T], ...], default: T | None) -> T:
        value = self._values.get(key, default)
        if value is None:
            raise ConfigError(self.path(key), "is missing")
        # Python counts true and false as integers; a configuration does not.
        if not isinstance(value, kind) or (isinstance(value, bool) and kind is not bool):
            raise ConfigError(self.path(key), WRONG_TYPE)
        return value

    def _check_number(self, key: str, value: Any, minimum: float, maximum: float) -> float:
        if isinstance(value, bool) or not isinstance(value, (int, float)):
            raise ConfigError(self.path(key), WRONG_TYPE)
        if not minimum <= value <= maximum:  # also refuses NaN, which Python's JSON decoder takes
            raise ConfigError(self.path(key), f"must be from {minimum:g} to {maximum:g}")
        return float(value)

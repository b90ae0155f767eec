"""Typed access to the objects and arrays of a configuration; every error names the path to its key."""

from __future__ import annotations

from collections.abc import Collection, Iterator, Sequence
from typing import TypeVar

from sageturn.config.errors import ConfigError
from sageturn.net.addresses import Address, parse_address
from sageturn.net.json_stream import JsonObject

ValueT = TypeVar("ValueT")
MAX_NUMBER = 1e9  # exceeds every count and time in a file; keeps integers within the range of system calls
WRONG_TYPE = "has the wrong type"


def decode_address(path: str, text: str) -> Address:
    """Return the parsed ``HOST:PORT`` at ``path``; raise ConfigError if it is malformed."""
    try:
        return parse_address(text)
    except ValueError as error:
        raise ConfigError(path, str(error)) from error


def check_number(path: str, value: object, minimum: float = 0.0, maximum: float = MAX_NUMBER) -> float:
    """Return the value at ``path``; raise ConfigError unless it is a number in the range."""
    if isinstance(value, bool) or not isinstance(value, (int, float)):
        raise ConfigError(path, WRONG_TYPE)
    if not minimum <= value <= maximum:  # also rejects NaN, which Python's JSON decoder accepts
        raise ConfigError(path, f"must be from {minimum:g} to {maximum:g}")
    return float(value)


class ConfigSection:
    """A JSON object of a configuration.

    A method that reads a key raises ConfigError if the value does not have the type that the method returns,
    or if the key is absent and ``default`` is None or not a parameter.
    """

    def __init__(self, values: object, path: str, *, null_is_absent: bool = False) -> None:
        """Wrap a decoded JSON object; raise ConfigError if ``values`` is anything else.

        Args:
            values: the decoded JSON value.
            path: the path to the object within its file, for messages; empty for the whole file.
            null_is_absent: True if a key whose value is null counts as absent, also in nested sections.
        """
        if not isinstance(values, dict):
            raise ConfigError(path or "the top", "must be an object")
        if null_is_absent:
            values = {key: value for key, value in values.items() if value is not None}
        self._values: JsonObject = values
        self._path = path
        self._null_is_absent = null_is_absent

    def path(self, key: str) -> str:
        """Return the full path to ``key`` within the file, for messages."""
        return f"{self._path}.{key}" if self._path else key

    def contains(self, key: str) -> bool:
        """Return whether the key is present, whatever its value."""
        return key in self._values

    def reject_unknown_keys(self, *allowed_keys: str) -> None:
        """Raise ConfigError for the first key not in ``allowed_keys``: a mistyped key must not be ignored."""
        for key in self._values:
            if key not in allowed_keys:
                raise ConfigError(self.path(key), "is unknown")

    def text(self, key: str, default: str | None = None) -> str:
        """Return a string."""
        return self._value(key, str, default)

    def flag(self, key: str, *, default: bool | None = None) -> bool:
        """Return a boolean."""
        return self._value(key, bool, default)

    def number(
        self, key: str, default: float | None = None, minimum: float = 0.0, maximum: float = MAX_NUMBER
    ) -> float:
        """Return a number, integer or not, from ``minimum`` to ``maximum``."""
        return check_number(self.path(key), self._value(key, (int, float), default), minimum, maximum)

    def integer(
        self, key: str, default: int | None = None, minimum: int = 0, maximum: float = MAX_NUMBER
    ) -> int:
        """Return a whole number; a number without a fraction, such as 3.0, is accepted."""
        value = self.number(key, default, minimum, maximum)
        if value != int(value):
            raise ConfigError(self.path(key), "must be a whole number")
        return int(value)

    def ratio(self, key: str, default: float) -> float:
        """Return a number from 0 to 1."""
        return self.number(key, default, maximum=1.0)

    def one_of(self, key: str, choices: Collection[str], default: str) -> str:
        """Return a string that must be one of ``choices``."""
        value = self.text(key, default)
        if value not in choices:
            raise ConfigError(self.path(key), f"must be one of {', '.join(choices)}")
        return value

    def address(self, key: str) -> Address:
        """Return an address, which is written ``HOST:PORT``."""
        return decode_address(self.path(key), self.text(key))

    def json_object(self, key: str, default: JsonObject | None = None) -> JsonObject:
        """Return an object whose keys and values the caller validates."""
        return self._value(key, dict, default)

    def section(self, key: str) -> ConfigSection:
        """Return the object at ``key``; an empty section if the key is absent."""
        values = self._values.get(key, {})
        return ConfigSection(values, self.path(key), null_is_absent=self._null_is_absent)

    def array(self, key: str, default: Sequence[object] | None = None) -> ConfigArray:
        """Return an array."""
        default_items = None if default is None else list(default)
        items = self._value(key, list, default_items)
        return ConfigArray(items, self.path(key), null_is_absent=self._null_is_absent)

    def _value(
        self, key: str, expected_type: type[ValueT] | tuple[type[ValueT], ...], default: ValueT | None
    ) -> ValueT:
        value: object = self._values.get(key, default)
        if value is None:
            raise ConfigError(self.path(key), "is missing")
        # A Python bool is also an int; true and false in a configuration are not numbers.
        if not isinstance(value, expected_type) or (isinstance(value, bool) and expected_type is not bool):
            raise ConfigError(self.path(key), WRONG_TYPE)
        return value


class ConfigArray:
    """A JSON array of a configuration. Its methods raise ConfigError for an item of another type."""

    def __init__(self, items: list[object], path: str, *, null_is_absent: bool) -> None:
        """``path`` and ``null_is_absent`` are those of the section that contains the array."""
        self._items = items
        self._path = path
        self._null_is_absent = null_is_absent

    @property
    def path(self) -> str:
        """The full path to the array within the file, for messages."""
        return self._path

    def __len__(self) -> int:
        return len(self._items)

    def enumerate_items(self) -> Iterator[tuple[str, object]]:
        """Yield the path to each item, and the item, which the caller validates."""
        for index, item in enumerate(self._items):
            yield f"{self._path}[{index}]", item

    def numbers(self) -> list[float]:
        """Return the items, which must be numbers that are not negative."""
        return [check_number(path, item) for path, item in self.enumerate_items()]

    def names(self, allowed_names: Collection[str]) -> list[str]:
        """Return the items, each of which must be one of ``allowed_names``."""
        names = []
        for path, item in self.enumerate_items():
            if item not in allowed_names:
                raise ConfigError(path, f"must be one of {', '.join(allowed_names)}")
            names.append(str(item))
        return names

    def addresses(self) -> list[Address]:
        """Return the items, which must be strings of the form ``HOST:PORT``."""
        addresses = []
        for path, item in self.enumerate_items():
            if not isinstance(item, str):
                raise ConfigError(path, WRONG_TYPE)
            addresses.append(decode_address(path, item))
        return addresses

    def sections(self) -> list[ConfigSection]:
        """Return the items, which must be objects."""
        return [
            ConfigSection(item, path, null_is_absent=self._null_is_absent)
            for path, item in self.enumerate_items()
        ]

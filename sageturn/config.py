"""The one place where the relay's configuration is read, checked and given defaults."""

from __future__ import annotations

import json
import os
from collections.abc import Mapping
from dataclasses import dataclass, field, replace
from pathlib import Path
from typing import Any, TypeVar

from sageturn import interface as api
from sageturn.core.messages import Listed
from sageturn.net.discovery import BadList, parse_address, read_listed
from sageturn.settings import read_settings

Address = tuple[str, int]
T = TypeVar("T")


class ConfigError(Exception):
    """The text names the faulty key."""


class Section:
    """An object of a configuration file; every fault names the path to its key."""

    def __init__(self, values: Any, where: str) -> None:
        if not isinstance(values, dict):
            raise ConfigError(f"{where}: must be an object")
        self._values, self._where = values, where

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

    def number(self, key: str, default: float | None = None, least: float = 0.0) -> float:
        value = self.get(key, (int, float), default)
        if value < least:
            raise ConfigError(f"{self.path(key)}: must be {least:g} or more")
        return float(value)

    def address(self, key: str, default: str | None = None) -> Address:
        return read_address(self.path(key), self.get(key, str, default))

    def section(self, key: str) -> Section:
        return Section(self._values.get(key, {}), self.path(key))

    def only(self, *keys: str) -> None:
        """A mistyped key in an operator's file must not be passed over in silence."""
        for key in self._values:
            if key not in keys:
                raise ConfigError(f"{self.path(key)}: is unknown")


def read_address(where: str, value: str) -> Address:
    try:
        return parse_address(value)
    except ValueError as error:
        raise ConfigError(f"{where}: {error}") from None


@dataclass(frozen=True, slots=True)
class Config:
    name: str
    listen: Address
    discovery: Address
    seed: int
    sockets: int
    settings: api.Settings
    known: Listed
    log_level: str = "INFO"
    operator: Section = field(default_factory=lambda: Section({}, ""))


def read_json(path: str, where: str) -> Any:
    try:
        return json.loads(Path(path).read_text(encoding="utf-8"))
    except OSError as error:
        raise ConfigError(f"{where}: {path}: {error.strerror}") from None
    except ValueError as error:
        raise ConfigError(f"{where}: {path}: not JSON: {error}") from None


def load(environ: Mapping[str, str] | None = None, operator_file: str | None = None) -> Config:
    """The environment names the file and may stand in for its first keys; the file holds the rest."""
    env = os.environ if environ is None else environ
    if not env.get("GW_CONFIG"):
        raise ConfigError("GW_CONFIG: is missing")
    top = Section(read_json(env["GW_CONFIG"], "GW_CONFIG"), "")

    def either(variable: str, key: str) -> tuple[str, str]:
        value = env.get(variable)
        return (variable, value) if value else (top.path(key), top.get(key, str))

    limits = top.section("limits")
    return Config(
        name=either("GW_NAME", "name")[1],
        listen=read_address(*either("GW_LISTEN", "listen")),
        discovery=read_address(*either("GW_DISCOVERY", "discovery")),
        seed=_seed(top),
        sockets=int(limits.number("sockets", 1024, least=32)),
        settings=_settings(top),
        known=_known(top),
        log_level=_log_level(env.get("SAGETURN_LOG", "INFO")),
        operator=Section(read_json(operator_file, "operator"), "") if operator_file else Section({}, ""),
    )


def _seed(top: Section) -> int:
    text = top.get("seed", str)
    try:
        return int(text, 16)
    except ValueError:
        raise ConfigError("seed: must be hexadecimal") from None


def _settings(top: Section) -> api.Settings:
    try:
        # The settings promise notes of delay, but no front's wire has a word for them.
        return replace(read_settings(top.get("settings", dict)), tells_delay=False)
    except KeyError as error:
        raise ConfigError(f"settings: {error.args[0]} is missing") from None
    except (TypeError, ValueError, AttributeError) as error:
        raise ConfigError(f"settings: {error}") from None


def _known(top: Section) -> Listed:
    if not top.has("known"):
        return Listed(0, True)
    try:
        return read_listed(top.get("known", dict))
    except (BadList, ValueError) as error:
        raise ConfigError(f"known: {error}") from None


def _log_level(value: str) -> str:
    if value.upper() not in ("DEBUG", "INFO", "WARNING", "ERROR"):
        raise ConfigError("SAGETURN_LOG: must be DEBUG, INFO, WARNING or ERROR")
    return value.upper()

"""Reads the platform's configuration: the file that ``GW_CONFIG`` names, overridden by the environment."""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass, field, replace

from sageturn import decision
from sageturn.config.errors import ConfigError
from sageturn.config.fields import ConfigSection, decode_address
from sageturn.config.files import read_json_file
from sageturn.config.operator import OperatorConfig
from sageturn.config.settings import read_settings
from sageturn.core.messages import EndpointListUpdate
from sageturn.net.addresses import Address
from sageturn.net.admission import ProcessLimits
from sageturn.net.endpoint_list import parse_endpoint_list

LOG_LEVELS = ("DEBUG", "INFO", "WARNING", "ERROR")


@dataclass(frozen=True, slots=True)
class RelayConfig:
    """A relay's complete configuration."""

    name: str
    listen: Address
    discovery: Address
    configured_discovery: str  # the file's value, even if the environment overrides it; "" if absent
    seed: int
    limits: ProcessLimits
    settings: decision.Settings
    initial_endpoints: EndpointListUpdate  # list from the key ``known``, used until discovery sends one
    log_level: str = "INFO"
    operator: OperatorConfig = field(default_factory=OperatorConfig)

    def keys_needing_restart(self, new: RelayConfig) -> list[str]:
        """Return the keys that differ in ``new`` and that take effect only after a restart."""
        old_operator = self.operator
        new_operator = new.operator
        old_xmpp_listen = old_operator.xmpp and old_operator.xmpp.listen
        new_xmpp_listen = new_operator.xmpp and new_operator.xmpp.listen
        values = {
            "name": (self.name, new.name),
            "listen": (self.listen, new.listen),
            "settings": (self.settings, new.settings),
            "operator.store.path": (old_operator.store_path, new_operator.store_path),
            "operator.store": (old_operator.replication, new_operator.replication),
            "operator.flows": (old_operator.flows, new_operator.flows),
            "operator.overrides": (old_operator.overrides is None, new_operator.overrides is None),
            "operator.xmpp.listen": (old_xmpp_listen, new_xmpp_listen),
        }
        return [key for key, (old_value, new_value) in values.items() if old_value != new_value]


def read_platform_config(environ: Mapping[str, str], previous: RelayConfig | None = None) -> RelayConfig:
    """Read the configuration; ``previous`` is the one in force, None at the start. Raise ConfigError."""
    if not environ.get("GW_CONFIG"):
        raise ConfigError("GW_CONFIG", "is missing")
    top = ConfigSection(read_json_file(environ["GW_CONFIG"], "GW_CONFIG"), "")
    limits = top.section("limits")
    configured_discovery = top.text("discovery", "")
    return RelayConfig(
        discovery=_read_discovery(top, environ, configured_discovery, previous),
        configured_discovery=configured_discovery,
        name=_read_text(top, environ, "name", "GW_NAME"),
        listen=_read_address(top, environ, "listen", "GW_LISTEN"),
        seed=_read_seed(top),
        limits=ProcessLimits(
            sockets=limits.integer("sockets", 1024, minimum=32),
            memory_mb=limits.number("memory_mb", 192.0, minimum=1),
        ),
        settings=_read_settings(top),
        initial_endpoints=_read_initial_endpoints(top),
        log_level=_read_log_level(environ),
    )


def _read_text(top: ConfigSection, environ: Mapping[str, str], key: str, variable: str) -> str:
    """Return the text of ``variable``, or of ``key`` if the variable is unset or empty."""
    return environ.get(variable) or top.text(key)


def _read_address(top: ConfigSection, environ: Mapping[str, str], key: str, variable: str) -> Address:
    text = environ.get(variable)
    return decode_address(variable, text) if text else top.address(key)


def _read_discovery(
    top: ConfigSection, environ: Mapping[str, str], configured: str, previous: RelayConfig | None
) -> Address:
    """Return the address of discovery: at the start the environment's, or the file's if that is unset.

    At a reload, an address that has changed in the file overrides the environment, since the environment of a
    running process cannot be changed.
    """
    if previous is None:
        return _read_address(top, environ, "discovery", "GW_DISCOVERY")
    if configured == previous.configured_discovery:
        return previous.discovery
    return decode_address("discovery", configured)


def _read_seed(top: ConfigSection) -> int:
    text = top.text("seed")
    try:
        return int(text, 16)
    except ValueError as error:
        raise ConfigError("seed", "must be hexadecimal") from error


def _read_settings(top: ConfigSection) -> decision.Settings:
    settings = read_settings(top.json_object("settings"), "settings")
    # The settings may announce measurements of message delay, but no frontend's protocol can carry them.
    return replace(settings, reports_delay=False)


def _read_initial_endpoints(top: ConfigSection) -> EndpointListUpdate:
    """Return the endpoint list from the key ``known``; an empty one if the key is absent."""
    if not top.contains("known"):
        return EndpointListUpdate(0, full=True)
    known = top.json_object("known")
    try:
        return parse_endpoint_list(known)
    except ValueError as error:  # either InvalidEndpointListError or InvalidAddressError
        raise ConfigError("known", str(error)) from error


def _read_log_level(environ: Mapping[str, str]) -> str:
    level = environ.get("SAGETURN_LOG", "INFO").upper()
    if level not in LOG_LEVELS:
        raise ConfigError("SAGETURN_LOG", "must be DEBUG, INFO, WARNING or ERROR")
    return level

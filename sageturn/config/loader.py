"""The one place where the relay's configuration is read, checked and given defaults."""

from __future__ import annotations

import json
import os
import re
import ssl
from collections.abc import Iterator, Mapping
from contextlib import contextmanager
from dataclasses import dataclass, field, replace
from pathlib import Path
from typing import TYPE_CHECKING, Any

from sageturn import decision
from sageturn.config.fields import ConfigError as ConfigError
from sageturn.config.fields import ConfigSection
from sageturn.config.settings import read_settings
from sageturn.core.messages import EndpointListUpdate
from sageturn.flows.exporter import FlowOptions
from sageturn.frontends.xmpp.options import EndpointOptions, XmppOptions
from sageturn.net.admission import ProcessLimits
from sageturn.net.discovery import InvalidEndpointListError, parse_address, parse_endpoint_list
from sageturn.store.channel import read_secret

if TYPE_CHECKING:  # off on the platform, and then not even read in
    from sageturn.overrides.options import OverrideOptions
    from sageturn.rebalance.options import RebalanceOptions
    from sageturn.store.replication.options import ReplicationOptions

Address = tuple[str, int]


def read_address(where: str, value: str) -> Address:
    try:
        return parse_address(value)
    except ValueError as error:
        raise ConfigError(f"{where}: {error}") from None


def _address(section: ConfigSection, key: str) -> Address:
    return read_address(section.path(key), section.get(key, str))


@dataclass(frozen=True, slots=True)
class OperatorConfig:
    """What an operator's file turns on; all of it is off on the platform."""

    store_path: Path | None = None
    replication: ReplicationOptions | None = None
    xmpp: XmppOptions | None = None
    flows: FlowOptions | None = None
    rebalance: RebalanceOptions | None = None
    overrides: OverrideOptions | None = None


@dataclass(frozen=True, slots=True)
class RelayConfig:
    name: str
    listen: Address
    discovery: Address
    filed_discovery: str  # as the file had it, whatever the environment said
    seed: int
    limits: ProcessLimits
    settings: decision.Settings
    known: EndpointListUpdate
    log_level: str = "INFO"
    operator: OperatorConfig = field(default_factory=OperatorConfig)

    def needs_restart(self, new: RelayConfig) -> list[str]:
        """The keys in which ``new`` differs and that a running relay keeps as they were."""
        ours, theirs = self.operator, new.operator
        pairs = {
            "name": (self.name, new.name),
            "listen": (self.listen, new.listen),
            "settings": (self.settings, new.settings),
            "operator.store.path": (ours.store_path, theirs.store_path),
            "operator.store": (ours.replication, theirs.replication),
            "operator.flows": (ours.flows, theirs.flows),
            "operator.overrides": (ours.overrides is None, theirs.overrides is None),
            "operator.xmpp.listen": (ours.xmpp and ours.xmpp.listen, theirs.xmpp and theirs.xmpp.listen),
        }
        return [key for key, (old, now) in pairs.items() if old != now]


def read_json(path: str, where: str) -> Any:
    try:
        return json.loads(Path(path).read_text(encoding="utf-8"))
    except OSError as error:
        raise ConfigError(f"{where}: {path}: {error.strerror}") from None
    except (ValueError, RecursionError) as error:
        raise ConfigError(f"{where}: {path}: not JSON: {error}") from None


def load(
    environ: Mapping[str, str] | None = None,
    operator_file: str | None = None,
    before: RelayConfig | None = None,
) -> RelayConfig:
    """The environment names the file and may stand in for its first keys; the file holds the rest.

    Read again while the relay runs, the file may name another discovery than ``before``. That then goes
    before the environment, which nobody can change in a running process.
    """
    env = os.environ if environ is None else environ
    if not env.get("GW_CONFIG"):
        raise ConfigError("GW_CONFIG: is missing")
    top = ConfigSection(read_json(env["GW_CONFIG"], "GW_CONFIG"), "")

    def either(variable: str, key: str) -> tuple[str, str]:
        value = env.get(variable)
        return (variable, value) if value else (top.path(key), top.get(key, str))

    limits = top.section("limits")
    filed = top.get("discovery", str, "")
    if before is None:
        discovery = read_address(*either("GW_DISCOVERY", "discovery"))
    elif filed == before.filed_discovery:
        discovery = before.discovery
    else:
        discovery = read_address("discovery", filed)
    config = RelayConfig(
        name=either("GW_NAME", "name")[1],
        listen=read_address(*either("GW_LISTEN", "listen")),
        discovery=discovery,
        filed_discovery=filed,
        seed=_seed(top),
        limits=ProcessLimits(
            sockets=int(limits.number("sockets", 1024, least=32)),
            memory_mb=limits.number("memory_mb", 192.0, least=1),
        ),
        settings=_settings(top),
        known=_known(top),
        log_level=_log_level(env.get("SAGETURN_LOG", "INFO")),
    )
    if operator_file is None:
        return config
    return replace(config, operator=read_operator(Path(operator_file), config.settings))


# ---------------------------------------------------------------- the operator's file


def read_operator(file: Path, settings: decision.Settings) -> OperatorConfig:
    """Paths in it are taken from where the file lies; its classes and tenants are those of the settings."""
    top = ConfigSection(read_json(str(file), "operator"), "operator")
    top.only("store", "xmpp", "flows", "rebalance", "overrides")
    store = top.section("store")
    if store.has("interval_s"):
        raise ConfigError(f"{store.path('interval_s')}: is gone, as changes go out at once; take it out")
    store.only("path", "listen", "peers", "secret_file", "region", "zone", "octets_per_s", "horizon_s")
    return OperatorConfig(
        store_path=file.parent / store.get("path", str) if store.has("path") else None,
        replication=_replication(store, file.parent) if store.has("listen") else None,
        xmpp=_xmpp(top.section("xmpp"), file.parent) if top.has("xmpp") else None,
        flows=_flows(top.section("flows")) if top.has("flows") else None,
        rebalance=_rebalance(top.section("rebalance"), settings) if top.has("rebalance") else None,
        overrides=_overrides(top.section("overrides")) if top.has("overrides") else None,
    )


def _replication(store: ConfigSection, folder: Path) -> ReplicationOptions:
    from sageturn.store.replication import options

    peers = []
    for number, peer in enumerate(store.get("peers", list, [])):
        where = f"{store.path('peers')}[{number}]"
        if not isinstance(peer, str):
            raise ConfigError(f"{where}: has the wrong type")
        peers.append(read_address(where, peer))
    listen = _address(store, "listen")
    if listen[0] == "0.0.0.0":
        raise ConfigError(f"{store.path('listen')}: must be an address at which others reach this member")
    return options.ReplicationOptions(
        listen=listen,
        seeds=tuple(peers),
        secret=read_secret(_secret(store, "secret_file", folder)),
        region=store.get("region", str, ""),
        zone=store.get("zone", str, ""),
        octets_per_s=store.number("octets_per_s", options.OCTETS_PER_S, least=options.OCTETS_LEAST),
        horizon_s=store.number("horizon_s", options.HORIZON_S, least=options.HORIZON_LEAST_S),
    )


def _flows(flows: ConfigSection) -> FlowOptions:
    flows.only("collector", "domain", "template_s", "queue")
    return FlowOptions(
        collector=_address(flows, "collector"),
        domain=int(flows.number("domain", 1)),
        template_s=flows.number("template_s", 30.0, least=1.0),
        queue=int(flows.number("queue", 4096, least=1)),
    )


def _rebalance(section: ConfigSection, settings: decision.Settings) -> RebalanceOptions:
    from sageturn.rebalance.options import MODES, RebalanceOptions

    usual = RebalanceOptions()
    section.only(*RebalanceOptions.__dataclass_fields__)
    mode = section.one_of("mode", MODES, usual.mode)
    start = section.number("start", usual.start, least=1.01)
    stop = section.number("stop", usual.stop, least=1.0)
    if stop >= start:
        raise ConfigError(f"{section.path('stop')}: must be under {section.path('start')}")
    again_s = section.number("again_s", usual.again_s, least=1.0)
    again_most_s = section.number("again_most_s", max(again_s, usual.again_most_s))
    if again_most_s < again_s:
        raise ConfigError(f"{section.path('again_most_s')}: must not be under {section.path('again_s')}")
    part_per_min = section.number("part_per_min", usual.part_per_min)
    if part_per_min > 1.0:
        raise ConfigError(f"{section.path('part_per_min')}: must be from 0 to 1")
    classes = [c.name for c in settings.classes]
    kept = [name for name in usual.keep_classes if name in classes]
    return RebalanceOptions(
        mode=mode,
        start=start,
        stop=stop,
        part_per_min=part_per_min,
        fleet_per_s=section.number("fleet_per_s", usual.fleet_per_s),
        burst=int(section.number("burst", usual.burst, least=1)),
        least_age_s=section.number("least_age_s", usual.least_age_s),
        again_s=again_s,
        again_most_s=again_most_s,
        back_within_s=section.number("back_within_s", usual.back_within_s, least=0.1),
        keep_classes=frozenset(_names(section, "keep_classes", kept, classes)),
        keep_tenants=frozenset(_names(section, "keep_tenants", [], [t.name for t in settings.tenants])),
        quiet_hours=_quiet_hours(section),
        tick_s=section.number("tick_s", usual.tick_s, least=0.05),
        remember=int(section.number("remember", usual.remember, least=1)),
    )


def _overrides(section: ConfigSection) -> OverrideOptions:
    from sageturn.overrides.options import OverrideOptions, SafetyLimits
    from sageturn.overrides.signing import parse_public_key

    section.only("operators", "longest_s", "floor_all", "floor_zone", "floor_pin")
    operators = {}
    for name, text in section.get("operators", dict, {}).items():
        try:
            operators[name] = parse_public_key(text)
        except (ValueError, TypeError) as error:
            raise ConfigError(f"{section.path('operators')}.{name}: no public key: {error}") from None
    usual = SafetyLimits()
    floors = {}
    for key, default in (
        ("all", usual.min_total_ratio),
        ("zone", usual.min_zone_ratio),
        ("pin", usual.min_pin_ratio),
    ):
        floors[key] = section.number(f"floor_{key}", default)
        if floors[key] > 1.0:
            raise ConfigError(f"{section.path(f'floor_{key}')}: must be from 0 to 1")
    longest_s = section.number("longest_s", OverrideOptions().max_duration_s, least=1.0)
    return OverrideOptions(operators, longest_s, SafetyLimits(floors["all"], floors["zone"], floors["pin"]))


def _names(section: ConfigSection, key: str, default: list[str], known: list[str]) -> list[str]:
    names = section.get(key, list, default)
    for number, name in enumerate(names):
        if name not in known:
            raise ConfigError(f"{section.path(key)}[{number}]: must be one of {', '.join(known)}")
    return names


_SPAN = re.compile(r"([01][0-9]|2[0-3]):([0-5][0-9])-([01][0-9]|2[0-3]):([0-5][0-9])")


def _quiet_hours(section: ConfigSection) -> tuple[tuple[int, int], ...]:
    """Minutes of the UTC day, from the first of each span to before the second."""
    spans = []
    for number, text in enumerate(section.get("quiet_hours", list, [])):
        match = _SPAN.fullmatch(text) if isinstance(text, str) else None
        if match is None or match[0][:5] == match[0][6:]:
            raise ConfigError(f"{section.path('quiet_hours')}[{number}]: must be a span such as 22:00-05:30")
        hours = [int(part) for part in match.groups()]
        spans.append((hours[0] * 60 + hours[1], hours[2] * 60 + hours[3]))
    return tuple(spans)


def _xmpp(xmpp: ConfigSection, folder: Path) -> XmppOptions:
    xmpp.only("listen", "domain", "certificate", "key", "wait_ms", "negotiate_s", "mute_s", "endpoint")
    tls = None
    if xmpp.has("certificate"):
        tls = _context(xmpp, "certificate", ssl.PROTOCOL_TLS_SERVER)
        files = (str(folder / xmpp.get(key, str)) for key in ("certificate", "key"))
        with _naming(xmpp, "certificate"):
            tls.load_cert_chain(*files)
    endpoint = xmpp.section("endpoint")
    endpoint.only("domain", "username", "password_file", "tls", "ca_file", "port")
    return XmppOptions(
        listen=_address(xmpp, "listen"),
        domain=xmpp.get("domain", str),
        tls=tls,
        wait_ms=xmpp.number("wait_ms", 3000.0, least=1.0),
        endpoint=EndpointOptions(
            domain=endpoint.get("domain", str, xmpp.get("domain", str)),
            username=endpoint.get("username", str),
            password=_secret(endpoint, "password_file", folder),
            tls=_endpoint_tls(endpoint, folder),
        ),
        port=int(endpoint.number("port", 0)),
        negotiate_s=xmpp.number("negotiate_s", 3.0, least=0.1),
        mute_s=xmpp.number("mute_s", 5.0, least=0.1),
    )


def _endpoint_tls(endpoint: ConfigSection, folder: Path) -> ssl.SSLContext | None:
    if not endpoint.get("tls", bool, True):
        return None
    context = _context(endpoint, "ca_file", ssl.PROTOCOL_TLS_CLIENT)
    with _naming(endpoint, "ca_file"):
        if endpoint.has("ca_file"):
            context.load_verify_locations(str(folder / endpoint.get("ca_file", str)))
        else:
            context.load_default_certs()
    return context


def _context(section: ConfigSection, key: str, protocol: int) -> ssl.SSLContext:
    with _naming(section, key):
        context = ssl.SSLContext(protocol)
        context.minimum_version = ssl.TLSVersion.TLSv1_2
        return context


@contextmanager
def _naming(section: ConfigSection, key: str) -> Iterator[None]:
    try:
        yield
    except OSError as error:  # ssl's own errors are of this kind too
        raise ConfigError(f"{section.path(key)}: {error.strerror or error}") from None


def _secret(section: ConfigSection, key: str, folder: Path) -> str:
    """Secrets stand in files of their own, so that the operator's file can be shown around."""
    with _naming(section, key):
        text = (folder / section.get(key, str)).read_text(encoding="utf-8").strip()
    if not text:
        raise ConfigError(f"{section.path(key)}: is empty")
    return text


# ---------------------------------------------------------------- GW_CONFIG's parts


def _seed(top: ConfigSection) -> int:
    text = top.get("seed", str)
    try:
        return int(text, 16)
    except ValueError:
        raise ConfigError("seed: must be hexadecimal") from None


def _settings(top: ConfigSection) -> decision.Settings:
    # The settings promise notes of delay, but no front's wire has a word for them.
    return replace(read_settings(top.get("settings", dict), "settings"), reports_delay=False)


def _known(top: ConfigSection) -> EndpointListUpdate:
    if not top.has("known"):
        return EndpointListUpdate(0, True)
    try:
        return parse_endpoint_list(top.get("known", dict))
    except (InvalidEndpointListError, ValueError) as error:
        raise ConfigError(f"known: {error}") from None


def _log_level(value: str) -> str:
    if value.upper() not in ("DEBUG", "INFO", "WARNING", "ERROR"):
        raise ConfigError("SAGETURN_LOG: must be DEBUG, INFO, WARNING or ERROR")
    return value.upper()

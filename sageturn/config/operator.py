"""Decodes the operator's file, section by section; a subsystem without a section is disabled."""

from __future__ import annotations

import re
from dataclasses import dataclass
from pathlib import Path
from typing import TYPE_CHECKING

from sageturn import decision
from sageturn.config.errors import ConfigError
from sageturn.config.fields import ConfigSection
from sageturn.config.files import read_json_file, read_secret_file
from sageturn.config.tls import read_endpoint_context, read_server_context
from sageturn.flows.exporter import FlowOptions
from sageturn.frontends.xmpp.options import EndpointOptions, XmppOptions
from sageturn.store.channel import read_secret

if TYPE_CHECKING:  # these subsystems are imported only if the file has their section
    from cryptography.hazmat.primitives.asymmetric.ed25519 import Ed25519PublicKey

    from sageturn.overrides.options import OverrideOptions
    from sageturn.rebalance.options import QuietSpan, RebalanceOptions
    from sageturn.store.replication.options import ReplicationOptions

ANY_ADDRESS = "0.0.0.0"
MINUTES_PER_HOUR = 60
_TIME = r"(?:[01][0-9]|2[0-3]):[0-5][0-9]"
_TIME_SPAN = re.compile(rf"(?P<begin>{_TIME})-(?P<end>{_TIME})")


@dataclass(frozen=True, slots=True)
class OperatorConfig:
    """Options of the subsystems that an operator's file enables; None for each that is disabled."""

    store_path: Path | None = None
    replication: ReplicationOptions | None = None
    xmpp: XmppOptions | None = None
    flows: FlowOptions | None = None
    rebalance: RebalanceOptions | None = None
    overrides: OverrideOptions | None = None


def read_operator_file(file: Path, settings: decision.Settings) -> OperatorConfig:
    """Read an operator's file; paths in it are relative to its folder.

    Args:
        file: the path of the operator's file.
        settings: the settings that define the classes and tenants that the file may name.

    Raises:
        ConfigError: a key, or a file that it names, is missing or invalid.
    """
    top = ConfigSection(read_json_file(str(file), "operator"), "operator")
    top.reject_unknown_keys("store", "xmpp", "flows", "rebalance", "overrides")
    folder = file.parent
    store = top.section("store")
    _check_store(store)
    return OperatorConfig(
        store_path=folder / store.text("path") if store.contains("path") else None,
        replication=_read_replication(store, folder) if store.contains("listen") else None,
        xmpp=_read_xmpp(top.section("xmpp"), folder) if top.contains("xmpp") else None,
        flows=_read_flows(top.section("flows")) if top.contains("flows") else None,
        rebalance=_read_rebalance(top.section("rebalance"), settings) if top.contains("rebalance") else None,
        overrides=_read_overrides(top.section("overrides")) if top.contains("overrides") else None,
    )


def _check_store(store: ConfigSection) -> None:
    if store.contains("interval_s"):
        raise ConfigError(
            store.path("interval_s"), "is no longer supported, as changes are sent at once; remove it"
        )
    store.reject_unknown_keys(
        "path", "listen", "peers", "secret_file", "region", "zone", "octets_per_s", "horizon_s"
    )


def _read_replication(store: ConfigSection, folder: Path) -> ReplicationOptions:
    from sageturn.store.replication import options

    seeds = tuple(store.array("peers", []).addresses())
    listen = store.address("listen")
    if listen[0] == ANY_ADDRESS:
        raise ConfigError(
            store.path("listen"), "must be the address at which peers reach this member, not 0.0.0.0"
        )
    return options.ReplicationOptions(
        listen=listen,
        seeds=seeds,
        secret=read_secret(read_secret_file(store, "secret_file", folder)),
        region=store.text("region", ""),
        zone=store.text("zone", ""),
        max_bytes_per_s=store.number(
            "octets_per_s", options.DEFAULT_MAX_BYTES_PER_S, minimum=options.MIN_MAX_BYTES_PER_S
        ),
        horizon_s=store.number("horizon_s", options.DEFAULT_HORIZON_S, minimum=options.MIN_HORIZON_S),
    )


def _read_flows(flows: ConfigSection) -> FlowOptions:
    flows.reject_unknown_keys("collector", "domain", "template_s", "queue")
    return FlowOptions(
        collector=flows.address("collector"),
        observation_domain=flows.integer("domain", 1),
        template_interval_s=flows.number("template_s", 30.0, minimum=1.0),
        max_queued_flows=flows.integer("queue", 4096, minimum=1),
    )


def _read_xmpp(xmpp: ConfigSection, folder: Path) -> XmppOptions:
    xmpp.reject_unknown_keys(
        "listen", "domain", "certificate", "key", "wait_ms", "negotiate_s", "mute_s", "endpoint"
    )
    server_context = read_server_context(xmpp, folder)
    endpoint = xmpp.section("endpoint")
    endpoint.reject_unknown_keys("domain", "username", "password_file", "tls", "ca_file", "port")
    return XmppOptions(
        listen=xmpp.address("listen"),
        domain=xmpp.text("domain"),
        tls=server_context,
        request_timeout_ms=xmpp.number("wait_ms", 3000.0, minimum=1.0),
        endpoint=EndpointOptions(
            domain=endpoint.text("domain", xmpp.text("domain")),
            username=endpoint.text("username"),
            password=read_secret_file(endpoint, "password_file", folder),
            tls=read_endpoint_context(endpoint, folder),
        ),
        endpoint_port=endpoint.integer("port", 0),
        login_timeout_s=xmpp.number("negotiate_s", 3.0, minimum=0.1),
        idle_timeout_s=xmpp.number("mute_s", 5.0, minimum=0.1),
    )


def _read_rebalance(section: ConfigSection, settings: decision.Settings) -> RebalanceOptions:
    from sageturn.rebalance.options import MODES, RebalanceOptions

    defaults = RebalanceOptions()
    section.reject_unknown_keys(*RebalanceOptions.__dataclass_fields__)
    mode = section.one_of("mode", MODES, defaults.mode)
    start = section.number("start", defaults.start, minimum=1.01)
    stop = section.number("stop", defaults.stop, minimum=1.0)
    if stop >= start:
        raise ConfigError(section.path("stop"), f"must be less than {section.path('start')}")
    again_s = section.number("again_s", defaults.again_s, minimum=1.0)
    again_most_s = section.number("again_most_s", max(again_s, defaults.again_most_s))
    if again_most_s < again_s:
        raise ConfigError(section.path("again_most_s"), f"must not be less than {section.path('again_s')}")
    class_names = [request_class.name for request_class in settings.classes]
    tenant_names = [tenant.name for tenant in settings.tenants]
    default_classes = [name for name in defaults.keep_classes if name in class_names]
    return RebalanceOptions(
        mode=mode,
        start=start,
        stop=stop,
        part_per_min=section.ratio("part_per_min", defaults.part_per_min),
        fleet_per_s=section.number("fleet_per_s", defaults.fleet_per_s),
        burst=section.integer("burst", defaults.burst, minimum=1),
        least_age_s=section.number("least_age_s", defaults.least_age_s),
        again_s=again_s,
        again_most_s=again_most_s,
        back_within_s=section.number("back_within_s", defaults.back_within_s, minimum=0.1),
        keep_classes=frozenset(section.array("keep_classes", default_classes).names(class_names)),
        keep_tenants=frozenset(section.array("keep_tenants", []).names(tenant_names)),
        quiet_hours=_read_quiet_hours(section),
        tick_s=section.number("tick_s", defaults.tick_s, minimum=0.05),
        remember=section.integer("remember", defaults.remember, minimum=1),
    )


def _read_quiet_hours(section: ConfigSection) -> tuple[QuietSpan, ...]:
    """Return the spans of the UTC day, each written ``HH:MM-HH:MM``; an empty span is rejected."""
    from sageturn.rebalance.options import QuietSpan

    spans = []
    for path, text in section.array("quiet_hours", []).enumerate_items():
        match = _TIME_SPAN.fullmatch(text) if isinstance(text, str) else None
        if match is None or match["begin"] == match["end"]:
            raise ConfigError(path, "must be a span of the UTC day, such as 22:00-05:30")
        spans.append(QuietSpan(_minute_of_day(match["begin"]), _minute_of_day(match["end"])))
    return tuple(spans)


def _minute_of_day(text: str) -> int:
    hour, minute = text.split(":")
    return int(hour) * MINUTES_PER_HOUR + int(minute)


def _read_overrides(section: ConfigSection) -> OverrideOptions:
    from sageturn.overrides.options import OverrideOptions, SafetyLimits

    section.reject_unknown_keys("operators", "longest_s", "floor_all", "floor_zone", "floor_pin")
    operators = _read_public_keys(section)
    defaults = SafetyLimits()
    safety_limits = SafetyLimits(
        min_total_ratio=section.ratio("floor_all", defaults.min_total_ratio),
        min_zone_ratio=section.ratio("floor_zone", defaults.min_zone_ratio),
        min_pin_ratio=section.ratio("floor_pin", defaults.min_pin_ratio),
    )
    max_duration_s = section.number("longest_s", OverrideOptions().max_duration_s, minimum=1.0)
    return OverrideOptions(operators, max_duration_s, safety_limits)


def _read_public_keys(section: ConfigSection) -> dict[str, Ed25519PublicKey]:
    """Return the operators' public keys, keyed by operator name."""
    from sageturn.overrides.signing import parse_public_key

    keys = {}
    for name, text in section.json_object("operators", {}).items():
        try:
            keys[name] = parse_public_key(text)
        except (ValueError, TypeError) as error:
            raise ConfigError(f"{section.path('operators')}.{name}", f"not a public key: {error}") from error
    return keys

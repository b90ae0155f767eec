"""Operators' files, and the relay's own configuration, decode as they did at revision 6e0cdec.

Each file of ``deploy/`` and of the fixtures decodes to the configuration that is committed as a fixture. The
names of fields in the fixtures are mapped here to those in the program, so that a field can be renamed in the
program, but not in an operator's file.
"""

from __future__ import annotations

import json
import shutil
import ssl
import tempfile
from collections.abc import Mapping, Sequence
from pathlib import Path

import pytest
import trustme
from support.network_fakes import write_config

from sageturn.config.errors import ConfigError
from sageturn.config.loader import load
from sageturn.config.operator import OperatorConfig
from sageturn.config.platform import RelayConfig
from sageturn.net.json_stream import JsonObject

FIXTURES = Path(__file__).parents[1] / "fixtures" / "operators"
ROOT = Path(__file__).parents[2]
DEPLOY = ROOT / "deploy"
CLASSES = [
    {"name": "guest-checkin", "aimMs": 300.0, "hardLimitMs": 3000.0, "semantics": "safe"},
    {"name": "c", "aimMs": 500.0},
]
# The public key of RFC 8032's first test vector: 32 bytes in base64.
PUBLIC_KEY = "11qYAYKxCrfVS/7TyWQHOg7hcvPapiMlrwIaaPcHURo="
SECRETS = {"replica.secret": "a shared secret", "endpoint.password": "relay-pw"}
# Names of fields in the program, keyed by their names in the fixtures. If a field of the program is renamed,
# only the value changes.
STORE = {
    "listen": "listen",
    "peers": "seeds",
    "region": "region",
    "zone": "zone",
    "octets_per_s": "max_bytes_per_s",
    "horizon_s": "horizon_s",
}
XMPP = {
    "listen": "listen",
    "domain": "domain",
    "wait_ms": "request_timeout_ms",
    "port": "endpoint_port",
    "negotiate_s": "login_timeout_s",
    "mute_s": "idle_timeout_s",
}
ENDPOINT = ("domain", "username", "password")
FLOWS = {
    "collector": "collector",
    "domain": "observation_domain",
    "template_s": "template_interval_s",
    "queue": "max_queued_flows",
}
REBALANCE = (
    "mode",
    "start",
    "stop",
    "part_per_min",
    "fleet_per_s",
    "burst",
    "least_age_s",
    "again_s",
    "again_most_s",
    "back_within_s",
    "quiet_hours",
    "tick_s",
    "remember",
)
KEPT = ("keep_classes", "keep_tenants")
FLOORS = {"all": "min_total_ratio", "zone": "min_zone_ratio", "pin": "min_pin_ratio"}
CONFIG_FIELDS = ("name", "listen", "discovery", "seed", "log_level")
LIMITS = ("sockets", "memory_mb")
SETTINGS = (
    "balancers",
    "index",
    "zone",
    "discovery",
    "max_attempts",
    "may_cancel",
    "retry_after",
    "max_retry_after_ms",
    "connect_timeout_ms",
    "keepalive_ms",
    "must_ask_in_ms",
    "fall_multiple",
    "fall_ms",
    "cold_from",
    "warm_within_ms",
    "weights",
    "groups",
    "price_cross_zone",
    "price_move",
    "tells_delay",
    "probes",
    "price_probe",
    "reports",
    "report_fields",
)
CLASS = ("name", "aim_ms", "effect", "scope", "key_ttl_ms", "message_aim_ms", "give_up_ms")
TENANT = ("name", "allowance_per_s", "quota_connections")
LISTED = ("version", "full", "addresses")
SERVER = ("name", "state", "zone", "kind", "cell", "share", "factor", "started_at_ms")

# Names of fields in the program, keyed by the names in the fixtures that differ from them.
RENAMED = {
    "balancers": "relay_count",
    "aim_ms": "latency_objective_ms",
    "message_aim_ms": "message_latency_objective_ms",
    "must_ask_in_ms": "max_poll_interval_ms",
    "fall_multiple": "cold_overload_multiple",
    "fall_ms": "cold_overload_window_ms",
    "cold_from": "initial_capacity_ratio",
    "warm_within_ms": "slow_start_ms",
    "tells_delay": "reports_delay",
    "price_cross_zone": "cross_zone_cost",
    "price_move": "migration_cost",
    "price_probe": "health_check_cost",
    "share": "weight",
}


def encode_fields(obj: object, names: Sequence[str] | Mapping[str, str]) -> JsonObject:
    """Return the fields of ``obj``, keyed by their names in the fixtures."""
    pairs = names.items() if isinstance(names, Mapping) else zip(names, names, strict=True)
    return {
        fixture_name: getattr(obj, RENAMED.get(field_name, field_name)) for fixture_name, field_name in pairs
    }


def encode_tls(context: ssl.SSLContext | None) -> JsonObject | None:
    if context is None:
        return None
    return {"least": context.minimum_version.name, "verifies": context.verify_mode.name}


def encode_operator(operator: OperatorConfig, folder: Path) -> JsonObject:
    """Return the decoded file as plain JSON, with the secrets and public keys in hexadecimal."""
    encoded: JsonObject = dict.fromkeys(("path", "store", "xmpp", "flows", "rebalance", "overrides"))
    if operator.store_path is not None:
        encoded["path"] = str(operator.store_path.relative_to(folder))
    if (store := operator.replication) is not None:
        encoded["store"] = encode_fields(store, STORE) | {"secret": store.secret.hex()}
    if (xmpp := operator.xmpp) is not None:
        endpoint = encode_fields(xmpp.endpoint, ENDPOINT) | {"tls": encode_tls(xmpp.endpoint.tls)}
        encoded["xmpp"] = encode_fields(xmpp, XMPP) | {"tls": encode_tls(xmpp.tls), "endpoint": endpoint}
    if operator.flows is not None:
        encoded["flows"] = encode_fields(operator.flows, FLOWS)
    if (rebalance := operator.rebalance) is not None:
        kept = {
            "keep_classes": sorted(rebalance.keep_classes),
            "keep_tenants": sorted(rebalance.keep_tenants),
        }
        encoded["rebalance"] = encode_fields(rebalance, REBALANCE) | kept
    if (overrides := operator.overrides) is not None:
        keys = {name: key.public_bytes_raw().hex() for name, key in overrides.operators.items()}
        floors = encode_fields(overrides.safety_limits, FLOORS)
        encoded["overrides"] = {"operators": keys, "longest_s": overrides.max_duration_s, "floors": floors}
    decoded: JsonObject = json.loads(json.dumps(encoded))
    return decoded


def encode_config(config: RelayConfig) -> JsonObject:
    """Return the relay's own configuration as plain JSON."""
    settings, known = config.settings, config.initial_endpoints
    parts = {
        "classes": [encode_fields(request_class, CLASS) for request_class in settings.classes],
        "tenants": [encode_fields(tenant, TENANT) for tenant in settings.tenants],
    }
    encoded = encode_fields(config, CONFIG_FIELDS) | {
        "limits": encode_fields(config.limits, LIMITS),
        "settings": encode_fields(settings, SETTINGS) | parts,
        "known": encode_fields(known, LISTED)
        | {"servers": [encode_fields(endpoint, SERVER) for endpoint in known.endpoints]},
    }
    decoded: JsonObject = json.loads(json.dumps(encoded))
    return decoded


def read_operator_file(source: Path, folder: Path) -> OperatorConfig:
    """Read the file as a relay does at its start, in a folder with the files that it names."""
    deploy, var = folder / "deploy", folder / "var"
    deploy.mkdir()
    var.mkdir()
    for name, text in SECRETS.items():
        (var / name).write_text(text + "\n")
    authority = trustme.CA(key_type=trustme.KeyType.ECDSA)
    certificate = authority.issue_cert("guides.example", key_type=trustme.KeyType.ECDSA)
    certificate.cert_chain_pems[0].write_to_path(var / "xmpp.pem")
    certificate.private_key_pem.write_to_path(var / "xmpp.key")
    authority.cert_pem.write_to_path(var / "endpoint-ca.pem")
    file = Path(shutil.copy(source, deploy))
    settings = json.loads((FIXTURES / "config.json").read_text())["settings"] | {"classes": CLASSES}
    config = write_config(folder, ("127.0.0.1", 9), settings=settings)
    return load({"GW_CONFIG": str(config)}, str(file)).operator


def decode(source: Path) -> JsonObject:
    with tempfile.TemporaryDirectory() as name:
        folder = Path(name).resolve()
        return encode_operator(read_operator_file(source, folder), folder / "deploy")


def to_json_bytes(decoded: JsonObject) -> bytes:
    return json.dumps(decoded, indent=1, sort_keys=True).encode() + b"\n"


# Operators' files with all keys, and with only the required ones.
ALL_KEYS: JsonObject = {
    "store": {
        "path": "store.log",
        "listen": "127.0.0.1:7400",
        "peers": ["127.0.0.1:7401", "10.0.0.2:7400"],
        "secret_file": "../var/replica.secret",
        "region": "north",
        "zone": "n1",
        "octets_per_s": 20000,
        "horizon_s": 7200,
    },
    "xmpp": {
        "listen": "127.0.0.1:5222",
        "domain": "guides.example",
        "wait_ms": 1500,
        "negotiate_s": 2.5,
        "mute_s": 4.5,
        "certificate": "../var/xmpp.pem",
        "key": "../var/xmpp.key",
        "endpoint": {
            "domain": "hosts.example",
            "username": "relay",
            "tls": False,
            "port": 5269,
            "password_file": "../var/endpoint.password",
        },
    },
    "flows": {"collector": "127.0.0.1:4739", "domain": 7, "template_s": 10, "queue": 64},
    "rebalance": {
        "mode": "on",
        "start": 1.2,
        "stop": 1.1,
        "part_per_min": 0.2,
        "fleet_per_s": 5,
        "burst": 8,
        "least_age_s": 1,
        "again_s": 60,
        "again_most_s": 120,
        "back_within_s": 3,
        "keep_classes": ["c"],
        "keep_tenants": ["t"],
        "quiet_hours": ["22:30-05:00", "12:00-12:01"],
        "tick_s": 0.5,
        "remember": 16,
    },
    "overrides": {
        "operators": {"lan": PUBLIC_KEY},
        "longest_s": 3600,
        "floor_all": 0.4,
        "floor_zone": 0.3,
        "floor_pin": 0.2,
    },
}
REQUIRED_KEYS: JsonObject = {
    "store": {"listen": "127.0.0.1:7400", "secret_file": "../var/replica.secret"},
    "xmpp": {
        "listen": "127.0.0.1:5222",
        "domain": "guides.example",
        "endpoint": {"username": "relay", "password_file": "../var/endpoint.password"},
    },
    "flows": {"collector": "127.0.0.1:4739"},
    "rebalance": {},
    "overrides": {},
}
CONFIG: JsonObject = {
    "name": "n1",
    "listen": "127.0.0.1:7000",
    "discovery": "127.0.0.1:7001",
    "seed": "0aff",
    "limits": {"sockets": 256, "memory_mb": 64.5},
    "known": {
        "version": 3,
        "full": True,
        "servers": [
            {"id": "a", "addr": "127.0.0.1:1", "state": "ready", "zone": "z1", "weight": 2.0},
            {"id": "b", "addr": "127.0.0.1:2", "state": "draining"},
        ],
    },
    "settings": {
        "accounts": [{"name": "t", "allowancePerS": 5.0}, {"name": "u"}],
        "classes": [
            {
                "name": "c",
                "aimMs": 1500.0,
                "hardLimitMs": 3000.0,
                "semantics": "keyed",
                "keyTtlMs": 900.0,
                "dedupScope": "all",
            },
            {"name": "d", "aimMs": 10},
        ],
        "groupSize": 3,
        "me": 1,
        "zone": "z1",
        "discovery": "ask",
        "weightKind": "none",
        "policyLimits": {
            "sendCap": 3,
            "cancel": True,
            "retryAfter": True,
            "maxRetryAfterMs": 800.0,
            "connectTimeoutMs": 400.0,
            "keepaliveMs": 5000.0,
            "probes": True,
        },
        "guarantees": {
            "mustAskInMs": 7.0,
            "fallMultiple": 4.0,
            "fallMs": 3000.0,
            "startCapacity": 0.2,
            "warmWithinMs": 9000.0,
        },
        "familyInfo": {
            "messageAimMs": [50.0],
            "tenantQuotaConnections": [9.0, 8.0],
            "groups": True,
            "tellsDelay": True,
        },
        "prices": {"crossZone": 0.5, "moves": 0.25, "probe": 0.125},
        "report": {"source": "answers", "fields": ["queue", "cpu"]},
    },
}
# ``deployed-*.json`` are copies of the files of ``deploy/``, as operators have them.
FILES = {path.stem: path for path in sorted(FIXTURES.glob("deployed-*.json")) if ".decoded" not in path.name}
FILES |= {"whole": FIXTURES / "whole.json", "least": FIXTURES / "least.json"}


def produce_fixtures() -> dict[str, bytes]:
    inputs = {
        f"{name}.json": to_json_bytes(content)
        for name, content in (("whole", ALL_KEYS), ("least", REQUIRED_KEYS))
    }
    inputs |= {f"deployed-{path.name}": path.read_bytes() for path in sorted(DEPLOY.glob("*.json"))}
    inputs["config.json"] = to_json_bytes(CONFIG)
    for name, data in inputs.items():
        (FIXTURES / name).write_bytes(data)
    decoded = {name: to_json_bytes(decode(FIXTURES / name)) for name in inputs if name != "config.json"}
    decoded["config.json"] = to_json_bytes(encode_config(load({"GW_CONFIG": str(FIXTURES / "config.json")})))
    return inputs | {name.replace(".json", ".decoded.json"): data for name, data in decoded.items()}


@pytest.mark.parametrize("name", FILES)
def test_operator_file_decodes_as_before(name: str) -> None:
    assert to_json_bytes(decode(FILES[name])) == (FIXTURES / f"{name}.decoded.json").read_bytes()


@pytest.mark.parametrize("path", sorted(DEPLOY.glob("*.json")), ids=lambda path: path.stem)
def test_shipped_operator_file_decodes_as_before(path: Path) -> None:
    assert to_json_bytes(decode(path)) == (FIXTURES / f"deployed-{path.stem}.decoded.json").read_bytes()


def test_relay_configuration_decodes_as_before() -> None:
    config = load({"GW_CONFIG": str(FIXTURES / "config.json")})
    assert to_json_bytes(encode_config(config)) == (FIXTURES / "config.decoded.json").read_bytes()


@pytest.mark.parametrize("section", list(ALL_KEYS))
def test_unknown_key_is_rejected(tmp_path: Path, section: str) -> None:
    file = tmp_path / "unknown.json"
    file.write_text(json.dumps(ALL_KEYS | {section: ALL_KEYS[section] | {"unheard_of": 1}}))
    with pytest.raises(ConfigError, match="unheard_of"):
        read_operator_file(file, tmp_path)

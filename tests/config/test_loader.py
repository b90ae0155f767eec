"""The platform's configuration: precedence of environment and file, and keys that need a restart."""

from __future__ import annotations

import json
from pathlib import Path
from typing import Any

import pytest
from support.network_fakes import write_config

from sageturn.config.errors import ConfigError
from sageturn.config.loader import load
from sageturn.net.json_stream import JsonObject

FILE_ADDRESS = ("127.0.0.1", 9)


def write(folder: Path, **changes: Any) -> dict[str, str]:
    """Write a config file with these keys changed; return the environment of its relay."""
    return {"GW_CONFIG": str(write_config(folder, FILE_ADDRESS, **changes))}


def test_environment_overrides_the_file(tmp_path: Path) -> None:
    environ = write(tmp_path, name="from-file", listen="127.0.0.1:1")
    variables = {"GW_NAME": "from-environment", "GW_LISTEN": "127.0.0.1:2", "GW_DISCOVERY": "127.0.0.1:3"}
    config = load(environ | variables | {"SAGETURN_LOG": "debug"})
    assert config.name == "from-environment"
    assert config.listen == ("127.0.0.1", 2)
    assert config.discovery == ("127.0.0.1", 3)
    assert config.configured_discovery == "127.0.0.1:9"
    assert config.log_level == "DEBUG"


def test_empty_variable_counts_as_unset(tmp_path: Path) -> None:
    config = load(write(tmp_path, name="from-file") | {"GW_NAME": "", "GW_DISCOVERY": ""})
    assert config.name == "from-file"
    assert config.discovery == FILE_ADDRESS


def test_discovery_changed_in_the_file_overrides_the_environment_at_a_reload(tmp_path: Path) -> None:
    environ = write(tmp_path) | {"GW_DISCOVERY": "127.0.0.1:3"}
    started = load(environ)
    unchanged = load(environ, previous=started)
    assert unchanged.discovery == ("127.0.0.1", 3)
    write_config(tmp_path, ("127.0.0.1", 4))
    changed = load(environ, previous=unchanged)
    assert changed.discovery == ("127.0.0.1", 4)
    assert load(environ, previous=changed).discovery == ("127.0.0.1", 4)


@pytest.mark.parametrize(
    ("changes", "variables", "message"),
    [
        ({"listen": "nowhere"}, {}, "listen: 'nowhere' is not HOST:PORT"),
        ({}, {"GW_LISTEN": "nowhere"}, "GW_LISTEN: 'nowhere' is not HOST:PORT"),
        ({"seed": "xyz"}, {}, "seed: must be hexadecimal"),
        ({"limits": {"sockets": 8}}, {}, "limits.sockets: must be from 32 to 1e+09"),
        ({"limits": {"sockets": 64.5}}, {}, "limits.sockets: must be a whole number"),
        ({"known": {"version": "1"}}, {}, "known: version: '1'"),
        ({"known": 5}, {}, "known: has the wrong type"),
        ({"listen": "127.0.0.1:²"}, {}, "listen: '127.0.0.1:²' is not HOST:PORT"),
        ({}, {"SAGETURN_LOG": "loud"}, "SAGETURN_LOG: must be DEBUG, INFO, WARNING or ERROR"),
        ({}, {"GW_CONFIG": ""}, "GW_CONFIG: is missing"),
        ({}, {"GW_CONFIG": "/absent.json"}, "GW_CONFIG: /absent.json: No such file or directory"),
    ],
)
def test_error_names_the_key_or_the_variable(
    tmp_path: Path, changes: JsonObject, variables: dict[str, str], message: str
) -> None:
    with pytest.raises(ConfigError) as error:
        load(write(tmp_path, **changes) | variables)
    assert str(error.value) == message


@pytest.mark.parametrize(
    ("content", "message"),
    [
        ({"flows": {"collector": "127.0.0.1:5", "domain": 1.5}}, "flows.domain: must be a whole number"),
        ({"flows": {"collector": "127.0.0.1:5", "queue": 10.5}}, "flows.queue: must be a whole number"),
        ({"rebalance": {"burst": 2.5}}, "rebalance.burst: must be a whole number"),
        ({"rebalance": {"remember": 2.5}}, "rebalance.remember: must be a whole number"),
        ({"rebalance": {"part_per_min": -0.1}}, "rebalance.part_per_min: must be from 0 to 1"),
        ({"xmpp": {"listen": "127.0.0.1:0", "key": "a"}}, "xmpp.key: needs operator.xmpp.certificate"),
    ],
)
def test_error_in_the_operators_file_names_the_key(tmp_path: Path, content: JsonObject, message: str) -> None:
    # Fractions were once truncated silently, and a key without its certificate silently disabled TLS.
    operator_file = tmp_path / "operator.json"
    operator_file.write_text(json.dumps(content))
    with pytest.raises(ConfigError) as error:
        load(write(tmp_path), str(operator_file))
    assert str(error.value) == f"operator.{message}"


def test_keys_needing_restart_are_those_a_running_relay_cannot_change(tmp_path: Path) -> None:
    operator_file = tmp_path / "operator.json"
    operator_file.write_text("{}")
    old = load(write(tmp_path), str(operator_file))
    operator_file.write_text(
        json.dumps({"store": {"path": "log"}, "flows": {"collector": "127.0.0.1:5"}, "rebalance": {}})
    )
    new = load(write(tmp_path, name="other", seed="0b"), str(operator_file))
    assert old.keys_needing_restart(old) == []
    assert old.keys_needing_restart(new) == ["name", "operator.store.path", "operator.flows"]

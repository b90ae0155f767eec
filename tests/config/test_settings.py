"""The decoder of the settings: which values it rejects, and which key its errors name."""

from __future__ import annotations

import json
from pathlib import Path
from typing import Any

import pytest
from hypothesis import given
from hypothesis import strategies as st
from support.deployments import FERRY_SETTINGS, replace_setting
from support.network_fakes import write_config

from sageturn import Balancer, Endpoint, EndpointListEvent
from sageturn.config.errors import ConfigError
from sageturn.config.loader import load
from sageturn.config.settings import read_settings

INVALID_VALUES: tuple[object, ...] = (
    None,
    True,
    "x",
    -1,
    -0.5,
    1e12,
    float("nan"),
    float("inf"),
    [],
    {},
    [1],
    {"a": 1},
)


@pytest.mark.parametrize(
    ("path", "value", "key"),
    [
        ("policyLimits", ..., "policyLimits.sendCap"),
        ("policyLimits.sendCap", 0, "policyLimits.sendCap"),
        ("policyLimits.sendCap", 2.5, "policyLimits.sendCap"),
        ("policyLimits.probes", 1, "policyLimits.probes"),
        ("policyLimits.connectTimeoutMs", 0, "connectTimeoutMs"),
        ("prices.probe", -0.1, "prices.probe"),
        ("prices.probe", float("nan"), "prices.probe"),
        ("report.source", "rumour", "report.source"),
        ("report.fields", ["x0", 3], "report.fields"),
        ("report.fields", "x0", "report.fields"),
        ("report", [], "report"),
        ("guarantees.fallMultiple", ..., "guarantees.fallMultiple"),
        ("guarantees.startCapacity", 1.5, "guarantees.startCapacity"),
        ("classes", [], "classes"),
        ("guarantees.warmWithinMs", float("inf"), "warmWithinMs"),
        ("classes.1.aimMs", 0, r"classes\[1\].aimMs"),
        ("classes.1.name", "gate", "classes"),
        ("classes.0", 7, r"classes\[0\]"),
        ("groupSize", 0, "groupSize"),
        ("familyInfo.messageAimMs", [1, "x"], r"familyInfo.messageAimMs\[1\]"),
        ("accounts.0.allowancePerS", -1, r"accounts\[0\].allowancePerS"),
        ("weightKind", 4, "weightKind"),
    ],
)
def test_missing_or_invalid_value_is_rejected_with_its_key(path: str, value: object, key: str) -> None:
    # Errors once named an internal field, or nothing at all, and infinity was accepted.
    with pytest.raises(ConfigError, match=f"settings.*{key}"):
        read_settings(replace_setting(FERRY_SETTINGS, path, value), "settings")


def paths_in(value: object, prefix: str = "") -> list[str]:
    """Return the paths to all values that are nested in ``value``."""
    if isinstance(value, dict):
        items = list(value.items())
    elif isinstance(value, list):
        items = list(enumerate(value))
    else:
        items = []
    paths = [f"{prefix}{key}" for key, _ in items]
    for key, item in items:
        paths += paths_in(item, f"{prefix}{key}.")
    return paths


@given(
    st.lists(
        st.tuples(st.sampled_from(paths_in(FERRY_SETTINGS)), st.sampled_from(INVALID_VALUES)),
        min_size=1,
        max_size=3,
    )
)
def test_invalid_settings_are_accepted_or_rejected_but_never_break_the_program(changes: list[Any]) -> None:
    conf = FERRY_SETTINGS
    for path, value in changes:
        try:
            conf = replace_setting(conf, path, value)
        except (KeyError, TypeError, IndexError, ValueError):
            continue  # an earlier change has removed the enclosing value
    try:
        settings = read_settings(conf, "settings")
    except ConfigError as error:
        assert str(error).startswith("settings")
    else:
        Balancer(settings, 1).handle(0.0, EndpointListEvent("stale", [Endpoint("a")]))


def test_invalid_settings_at_sighup_are_rejected_and_changed_ones_need_a_restart(tmp_path: Path) -> None:
    file = write_config(tmp_path, ("127.0.0.1", 9), settings=FERRY_SETTINGS)
    env = {"GW_CONFIG": str(file)}
    before = load(env)
    content = json.loads(file.read_text())
    file.write_text(
        json.dumps({**content, "settings": replace_setting(FERRY_SETTINGS, "prices.probe", "dear")})
    )
    with pytest.raises(ConfigError, match=r"settings\.prices\.probe"):
        load(env, previous=before)
    file.write_text(
        json.dumps({**content, "settings": replace_setting(FERRY_SETTINGS, "policyLimits.probes", False)})
    )
    assert before.keys_needing_restart(load(env, previous=before)) == ["settings"]

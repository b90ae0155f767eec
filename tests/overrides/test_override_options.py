"""Validation of the ``overrides`` section of the operator's file."""

from __future__ import annotations

import json
from pathlib import Path
from typing import Any

import pytest
from support.network_fakes import write_config

from sageturn.config.errors import ConfigError
from sageturn.config.loader import load


@pytest.mark.parametrize(
    ("change", "key"),
    [
        ({"floor_all": 2}, "floor_all"),
        ({"operators": {"x": "??"}}, "operators.x"),
        ({"longest": 1}, "longest"),
        ({"operators": {"x": 5}}, "operators.x"),
        ({"longest_s": 0}, "longest_s"),
    ],
)
def test_errors_in_the_section_name_their_key(tmp_path: Path, change: dict[str, Any], key: str) -> None:
    (tmp_path / "operator.json").write_text(json.dumps({"overrides": change}))
    file = write_config(tmp_path, ("127.0.0.1", 1))
    with pytest.raises(ConfigError, match=f"operator.overrides.{key}"):
        load({"GW_CONFIG": str(file)}, str(tmp_path / "operator.json"))

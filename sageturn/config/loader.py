"""The entry point: a relay's whole configuration, read at its start and again at SIGHUP."""

from __future__ import annotations

import os
from collections.abc import Mapping
from dataclasses import replace
from pathlib import Path

from sageturn.config.operator import read_operator_file
from sageturn.config.platform import RelayConfig, read_platform_config


def load(
    environ: Mapping[str, str] | None = None,
    operator_file: str | None = None,
    previous: RelayConfig | None = None,
) -> RelayConfig:
    """Read the platform's configuration and, if it is given, the operator's file; raises ConfigError.

    ``environ``: in place of the process's own environment. ``previous``: the configuration in force, where
    it is read again while the relay runs.
    """
    config = read_platform_config(os.environ if environ is None else environ, previous)
    if operator_file is None:
        return config
    return replace(config, operator=read_operator_file(Path(operator_file), config.settings))

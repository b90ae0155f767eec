"""Loads a relay's complete configuration, at its start and at each SIGHUP."""

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
    """Read the platform's configuration and, if one is given, the operator's file.

    Args:
        environ: the environment variables; None for those of the process.
        operator_file: the path of the operator's file; None if there is none.
        previous: the configuration in force, if this is a reload; None at the start.

    Raises:
        ConfigError: a key, a file or an environment variable is missing or invalid.
    """
    config = read_platform_config(os.environ if environ is None else environ, previous)
    if operator_file is None:
        return config
    return replace(config, operator=read_operator_file(Path(operator_file), config.settings))

"""Reads configuration files, and the secret files that they name."""

from __future__ import annotations

import json
from collections.abc import Iterator
from contextlib import contextmanager
from pathlib import Path

from sageturn.config.errors import ConfigError, ConfigUnreadableError
from sageturn.config.fields import ConfigSection


def read_json_file(path: str, name: str) -> object:
    """Return the decoded content of the file at ``path``, which messages call ``name``.

    Raises:
        ConfigUnreadableError: the system could not read the file.
        ConfigError: the file is not JSON.
    """
    try:
        return json.loads(Path(path).read_text(encoding="utf-8"))
    except OSError as error:
        raise ConfigUnreadableError(name, f"{path}: {error.strerror}", error) from error
    except (ValueError, RecursionError) as error:
        raise ConfigError(name, f"{path}: not JSON: {error}") from error


def read_secret_file(section: ConfigSection, key: str, folder: Path) -> str:
    """Return the text of the file that ``key`` names, without surrounding white space; raise ConfigError.

    Secrets have their own files, so that the operator's file can be shown to others.
    """
    with convert_file_errors(section, key):
        text = (folder / section.text(key)).read_text(encoding="utf-8").strip()
    if not text:
        raise ConfigError(section.path(key), "is empty")
    return text


@contextmanager
def convert_file_errors(section: ConfigSection, key: str) -> Iterator[None]:
    """Convert errors of the system and of TLS to a ConfigUnreadableError that names ``key``."""
    try:
        yield
    except OSError as error:  # includes ssl.SSLError
        raise ConfigUnreadableError(section.path(key), str(error.strerror or error), error) from error

"""Reads the files that a configuration consists of, and those that it names."""

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
        ConfigUnreadableError: the system did not let it be read.
        ConfigError: it is not JSON.
    """
    try:
        return json.loads(Path(path).read_text(encoding="utf-8"))
    except OSError as error:
        raise ConfigUnreadableError(name, f"{path}: {error.strerror}", error) from error
    except (ValueError, RecursionError) as error:
        raise ConfigError(name, f"{path}: not JSON: {error}") from error


def read_secret_file(section: ConfigSection, key: str, folder: Path) -> str:
    """Return the text of the file that ``key`` names, without white space around it; raises ConfigError.

    Secrets are in files of their own, so that the operator's file can be shown to others.
    """
    with file_errors_named(section, key):
        text = (folder / section.text(key)).read_text(encoding="utf-8").strip()
    if not text:
        raise ConfigError(section.path(key), "is empty")
    return text


@contextmanager
def file_errors_named(section: ConfigSection, key: str) -> Iterator[None]:
    """Raise ConfigUnreadableError, which names ``key``, in place of errors of the system or of TLS."""
    try:
        yield
    except OSError as error:  # ssl.SSLError is one
        raise ConfigUnreadableError(section.path(key), str(error.strerror or error), error) from error

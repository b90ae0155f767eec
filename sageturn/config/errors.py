"""Errors of reading a configuration, as operators see them."""

from __future__ import annotations

import errno

# Errors of reading a file that may pass without a change to it: no free descriptor or memory, a disk error.
TRANSIENT_ERRNOS = (errno.EMFILE, errno.ENFILE, errno.ENOMEM, errno.EIO)


class ConfigError(ValueError):
    """Error in a configuration. The text names the invalid key, file or environment variable."""

    def __init__(self, path: str, problem: str) -> None:
        """``path`` is the full path to the key within its file, such as ``operator.xmpp.listen``."""
        super().__init__(f"{path}: {problem}")
        self.path = path
        self.problem = problem


class ConfigUnreadableError(ConfigError):
    """Error of a file that the system could not read, so that its content is unknown."""

    def __init__(self, path: str, problem: str, cause: OSError) -> None:
        """``cause`` is the system's error, whose number determines ``is_transient``."""
        super().__init__(path, problem)
        self.is_transient = cause.errno in TRANSIENT_ERRNOS

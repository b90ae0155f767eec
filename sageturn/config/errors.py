"""Errors of reading a configuration."""

from __future__ import annotations

import errno

# Errors of reading a file after which a retry may succeed: no descriptor or memory, a disk that fails.
TRANSIENT_ERRNOS = (errno.EMFILE, errno.ENFILE, errno.ENOMEM, errno.EIO)


class ConfigError(ValueError):
    """A configuration is invalid. The text names the key, the file or the variable at fault."""

    def __init__(self, path: str, problem: str) -> None:
        """``path`` leads to the key from the top of its file, such as ``operator.xmpp.listen``."""
        super().__init__(f"{path}: {problem}")
        self.path = path
        self.problem = problem


class ConfigUnreadableError(ConfigError):
    """The system did not let a file be read, so nothing is known of its content."""

    def __init__(self, path: str, problem: str, cause: OSError) -> None:
        """``cause`` is the system's error; it decides ``is_transient``."""
        super().__init__(path, problem)
        self.is_transient = cause.errno in TRANSIENT_ERRNOS

"""Errors of a configuration."""

from __future__ import annotations


class ConfigError(ValueError):
    """A configuration that cannot be used. The text names the key, the file or the variable at fault."""

    def __init__(self, path: str, problem: str) -> None:
        """``path``: of the key within its file, such as ``operator.xmpp.listen``."""
        super().__init__(f"{path}: {problem}")
        self.path = path
        self.problem = problem

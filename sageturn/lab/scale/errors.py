"""Errors of scale runs. A failed run's result line has the error as text."""

from __future__ import annotations

from typing import ClassVar


class ScaleError(Exception):
    """Base class of this package's errors."""

    # The error's name in result files, the same in all revisions; if empty, the class name is used.
    result_name: ClassVar[str] = ""


class InvalidPlanError(ScaleError, ValueError):
    """A key of an experiment file has a value that is not allowed; the message begins with the key."""


class FitError(ScaleError, ValueError):
    """The measured sizes do not determine a fit."""


class UnavailableReplicationError(ScaleError, ValueError):
    """The measured revision does not have the replication that the experiment's ``spread`` names."""

    result_name = "ValueError"


class ScaleRunError(ScaleError, RuntimeError):
    """A run was not completed."""

    result_name = "RuntimeError"


class UnsupportedCommandError(ScaleRunError):
    """A child process received a command that its role does not support."""


class ChildFailedError(ScaleRunError):
    """A child process exited early or failed a command."""


class ReadinessTimeoutError(ScaleRunError):
    """Members did not get the endpoint list, or did not establish their links, in time."""


class BoundExceededError(ScaleRunError):
    """A run exceeded the memory or the minutes that its experiment file allows."""

    result_name = "Overrun"


def describe_failure(error: BaseException) -> str:
    """Return the error's name and message, for a result line's key ``failed`` or a child's answer."""
    name = error.result_name if isinstance(error, ScaleError) else ""
    return f"{name or type(error).__name__}: {error}"

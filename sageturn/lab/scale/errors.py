"""Errors of scale runs. A run's failure is kept, as text, in its result line."""

from __future__ import annotations

from typing import ClassVar


class ScaleError(Exception):
    """The base of this package's errors."""

    # How result files name the error, also those of earlier revisions; empty where none ever gets there.
    result_name: ClassVar[str] = ""


class InvalidPlanError(ScaleError, ValueError):
    """A key of an experiment file has a value that is not allowed; the text begins with the key."""


class FitError(ScaleError, ValueError):
    """The measured sizes determine no fit."""


class UnavailableReplicationError(ScaleError, ValueError):
    """The revision that is measured does not have the experiment's ``spread``."""

    result_name = "ValueError"


class ScaleRunError(ScaleError, RuntimeError):
    """A run could not be completed."""

    result_name = "RuntimeError"


class UnsupportedCommandError(ScaleRunError):
    """A child process was sent a command that its role does not have."""


class ChildFailedError(ScaleRunError):
    """A child process ended early, or answered a command with an error."""


class ReadinessTimeoutError(ScaleRunError):
    """Members did not get the endpoint list, or their links, in time."""


class BoundExceededError(ScaleRunError):
    """A bound of the experiment file was reached: memory or minutes."""

    result_name = "Overrun"


def describe_failure(error: BaseException) -> str:
    """Returns the error's name and text, for a result line's key ``failed`` and a child's answer."""
    name = error.result_name if isinstance(error, ScaleError) else ""
    return f"{name or type(error).__name__}: {error}"

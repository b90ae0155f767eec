"""Errors of a scale run. Each one ends the run; its text is kept in the run's result line."""

from __future__ import annotations

from typing import ClassVar


class ScaleRunError(RuntimeError):
    """A run could not be carried through."""

    # How result files name the error, also those of earlier revisions.
    result_name: ClassVar[str] = "RuntimeError"


class ChildFailedError(ScaleRunError):
    """A child process ended early, or answered a command with an error."""


class ReadinessTimeoutError(ScaleRunError):
    """Members did not get the endpoint list, or their links, in time."""


class BoundExceededError(ScaleRunError):
    """A bound of the experiment file was reached: memory or minutes."""

    result_name = "Overrun"


def describe_failure(error: BaseException) -> str:
    """What a result line says of the error under the key ``failed``."""
    name = error.result_name if isinstance(error, ScaleRunError) else type(error).__name__
    return f"{name}: {error}"

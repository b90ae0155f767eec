"""The errors of the decision module."""

from __future__ import annotations


class DecisionError(Exception):
    """The base of all errors of the decision module."""


class InvalidSettingError(DecisionError, ValueError):
    """A setting has a value that no balancer can work with; the text names the field and its rule."""

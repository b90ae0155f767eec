"""The errors of the decision module."""

from __future__ import annotations


class DecisionError(Exception):
    """Base of all errors of the decision module."""


class InvalidSettingError(DecisionError, ValueError):
    """Raised for a setting that no balancer can work with. The text names the field and its rule."""

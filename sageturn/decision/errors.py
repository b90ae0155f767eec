"""Errors of the decision module."""

from __future__ import annotations


class DecisionError(Exception):
    """Base class of all errors of the decision module."""


class InvalidSettingError(DecisionError, ValueError):
    """Setting that no balancer can work with. The message names the field and its rule."""

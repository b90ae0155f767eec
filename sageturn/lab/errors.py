"""Errors of the lab. Each text names the key or the file, and what was expected of it."""

from __future__ import annotations


class LabError(ValueError):
    """Base of the lab's errors."""


class InvalidFaultError(LabError):
    """A scheduled fault has a value outside its bounds."""


class InvalidExperimentError(LabError):
    """An experiment file can't be used; the text names the file and the key."""


class InvalidSizeError(LabError):
    """A fleet's size contradicts itself; the text begins with the field."""


class InvalidVariantError(LabError):
    """A variant of an experiment has an unknown or invalid option; the text begins with the field."""


class PolicyNotFoundError(LabError):
    """The files of a policy can't be read."""


class ResultsMismatchError(LabError):
    """A result file holds the results of another experiment."""


class NoCommonRunsError(LabError):
    """Two variants have no run of the same scenario and seed in common."""


class UnknownParameterError(LabError):
    """A sweep names a parameter that can't be varied."""

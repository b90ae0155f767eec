"""Errors of the laboratory. Each message names the key or the file, and what was expected of it."""

from __future__ import annotations


class LabError(ValueError):
    """Base class of the laboratory's errors."""


class InvalidFaultError(LabError):
    """A scheduled fault has a value outside its bounds."""


class InvalidExperimentError(LabError):
    """An experiment file is invalid; the message names the file and the key."""


class InvalidSizeError(LabError):
    """The numbers of a fleet's size contradict each other; the message begins with the field."""


class InvalidVariantError(LabError):
    """A variant of an experiment has an unknown or invalid option; the message begins with the field."""


class PolicyNotFoundError(LabError):
    """The files of a policy can't be read."""


class ResultsMismatchError(LabError):
    """A result file holds the results of another experiment."""


class NoCommonRunsError(LabError):
    """Two variants have no run of the same scenario and seed in common."""


class UnknownParameterError(LabError):
    """A sweep names a parameter that can't be varied."""

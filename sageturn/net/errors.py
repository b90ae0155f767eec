"""Errors of this package: input from the network that cannot be used."""

from __future__ import annotations


class NetError(Exception):
    """Base of this package's errors; the text names what was found, and where."""


class InvalidAddressError(NetError, ValueError):
    """A text does not have the form ``HOST:PORT``."""


class InvalidEndpointListError(NetError, ValueError):
    """An object of discovery cannot be decoded; the text names the key."""


class InvalidJsonStreamError(NetError, ValueError):
    """A stream contains something other than JSON objects, or an object that is too long."""


class WatchClosedError(NetError, ConnectionError):
    """Discovery has ended a watch, or responded with no watch; the text says how."""

"""Errors of this package: input from the network that cannot be used."""

from __future__ import annotations


class NetError(Exception):
    """Base class of this package's errors; the text says what was found, and where."""


class InvalidAddressError(NetError, ValueError):
    """Text that does not have the form ``HOST:PORT``."""


class InvalidEndpointListError(NetError, ValueError):
    """Object from discovery that cannot be decoded; the text names the key."""


class InvalidJsonStreamError(NetError, ValueError):
    """Stream that contains something other than JSON objects, or an object that is too long."""


class WatchClosedError(NetError, ConnectionError):
    """Watch that discovery has ended, or a response that is no watch; the text says which."""

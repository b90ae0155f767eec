"""What comes from the network and cannot be used: the errors of this package, under one base."""

from __future__ import annotations


class NetError(Exception):
    """Base of this package's errors; each text says what was found, and where."""


class InvalidAddressError(NetError, ValueError):
    """A text that is not ``HOST:PORT``."""


class InvalidEndpointListError(NetError, ValueError):
    """An object of discovery that cannot be read; the text names the key."""


class InvalidJsonStreamError(NetError, ValueError):
    """A stream that carries something other than JSON objects, or one that is too long."""


class WatchClosedError(NetError, ConnectionError):
    """Discovery has ended a watch, or responded with no watch; the text says how."""

"""Exceptions of the store, all derived from ``StoreError``."""

from __future__ import annotations


class StoreError(Exception):
    """Base class of all exceptions that the store raises itself."""


class InvalidRecordError(StoreError, ValueError):
    """A record that was read or is to be written is invalid; the message names the field."""


class LogCorruptedError(StoreError):
    """The log on disk is damaged in a way that an interrupted write cannot cause."""


class LogInUseError(StoreError, BlockingIOError):
    """Another process has the log open."""


class HandshakeRejectedError(StoreError, ConnectionError):
    """The peer does not hold the shared secret, or one of its frames is malformed or not authentic."""


class ChannelClosedError(StoreError, ConnectionResetError):
    """The peer closed the connection."""


class SessionRejectedError(StoreError, ValueError):
    """A session that has to be closed, after a protocol violation or because the peer may not connect.

    ``close_code`` and the message are sent to the peer as the close reason.
    """

    def __init__(self, message: str, close_code: str = "fault") -> None:
        super().__init__(message)
        self.close_code = close_code

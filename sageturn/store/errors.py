"""Errors of the store; all of them are a ``StoreError``."""

from __future__ import annotations


class StoreError(Exception):
    """The base of all errors that the store raises itself."""


class InvalidRecordError(StoreError, ValueError):
    """A record that was read or is to be written is invalid; the text names the field."""


class LogCorruptedError(StoreError):
    """The log on disk is damaged in a way that no interrupted write explains."""


class LogInUseError(StoreError, BlockingIOError):
    """Another process has the log open."""


class HandshakeRejectedError(StoreError, ConnectionError):
    """The peer does not hold the shared secret, or a frame was tampered with or is malformed."""


class ChannelClosedError(StoreError, ConnectionResetError):
    """The peer closed the connection."""


class SessionRejectedError(StoreError, ValueError):
    """A protocol violation, or a peer that may not connect: the session has to be closed.

    ``close_code`` is sent to the peer as the reason; the text says what was expected.
    """

    def __init__(self, message: str, close_code: str = "fault") -> None:
        super().__init__(message)
        self.close_code = close_code

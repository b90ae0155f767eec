"""Writes log lines to standard error, and never blocks on the process that reads them."""

from __future__ import annotations

import logging
import os
import select
import sys

MAX_NONBLOCKING_WRITE_BYTES = select.PIPE_BUF  # a pipe that polls as writable takes these without blocking
NO_WAIT_MS = 0


def make_log_handler() -> logging.Handler:
    """Return the handler for standard error, or a null handler if the process started without one.

    In that case its descriptor number may belong to another file, such as a client's socket.
    """
    if sys.stderr is None:
        return logging.NullHandler()
    return NonBlockingLogHandler(sys.stderr.fileno())


class NonBlockingLogHandler(logging.Handler):
    """Log handler for a descriptor whose reader may have stalled, such as a pipe to a log collector.

    A line that cannot be written at once is dropped and counted; the count is logged before the next line
    that can be written. Write errors are not raised, since a failed log line must not cost a connection.
    """

    def __init__(self, descriptor: int) -> None:
        super().__init__()
        self._descriptor = descriptor
        self._poll = select.poll()
        self._poll.register(descriptor, select.POLLOUT)
        self._dropped_lines = 0

    def emit(self, record: logging.LogRecord) -> None:
        """Write one record; called by ``logging``."""
        if self._dropped_lines and self._write(self._encode(self._make_drop_notice())):
            self._dropped_lines = 0
        try:
            line = self._encode(record)
        except Exception:
            self.handleError(record)
            return
        if self._dropped_lines or not self._write(line):
            self._dropped_lines += 1

    def _encode(self, record: logging.LogRecord) -> bytes:
        return f"{self.format(record)}\n".encode(errors="backslashreplace")

    def _make_drop_notice(self) -> logging.LogRecord:
        message = "log lines dropped count=%d"
        arguments = (self._dropped_lines,)
        return logging.LogRecord(__name__, logging.WARNING, __file__, 0, message, arguments, None)

    def _write(self, data: bytes) -> bool:
        """Write as much of ``data`` as fits now. Return whether all of it was written."""
        unwritten = memoryview(data)
        try:
            while unwritten:
                if not self._poll.poll(NO_WAIT_MS):
                    return False
                unwritten = unwritten[os.write(self._descriptor, unwritten[:MAX_NONBLOCKING_WRITE_BYTES]) :]
        except OSError:
            return False
        return True

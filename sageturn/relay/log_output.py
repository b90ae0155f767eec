"""Writes log lines without ever waiting for whoever reads them."""

from __future__ import annotations

import logging
import os
import select
import sys

WRITABLE_BYTES = select.PIPE_BUF  # a pipe that is writable takes so many without waiting
NO_WAIT_MS = 0


def make_log_handler() -> logging.Handler:
    """Return the handler for standard error; a null handler where the process has none.

    The descriptor's number is then that of another file, perhaps a client's socket.
    """
    if sys.stderr is None:
        return logging.NullHandler()
    return NonBlockingLogHandler(sys.stderr.fileno())


class NonBlockingLogHandler(logging.Handler):
    """Writes to a descriptor that others may have stopped to read, such as a pipe to a log collector.

    A line that does not fit now is dropped and counted; the next line that fits follows the count. No error
    of a write is raised: the log is not worth a connection.
    """

    def __init__(self, descriptor: int) -> None:
        super().__init__()
        self._descriptor = descriptor
        self._poll = select.poll()
        self._poll.register(descriptor, select.POLLOUT)
        self._dropped_lines = 0

    def emit(self, record: logging.LogRecord) -> None:
        """Write one record; called by ``logging``."""
        if self._dropped_lines and self._write(self._encode(self._dropped_record())):
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

    def _dropped_record(self) -> logging.LogRecord:
        message = "log lines dropped count=%d"
        arguments = (self._dropped_lines,)
        return logging.LogRecord(__name__, logging.WARNING, __file__, 0, message, arguments, None)

    def _write(self, data: bytes) -> bool:
        """Write what fits now. Returns whether that was all of ``data``."""
        unwritten = memoryview(data)
        try:
            while unwritten:
                if not self._poll.poll(NO_WAIT_MS):
                    return False
                unwritten = unwritten[os.write(self._descriptor, unwritten[:WRITABLE_BYTES]) :]
        except OSError:
            return False
        return True

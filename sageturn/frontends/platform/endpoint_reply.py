"""Parses the lines with which an endpoint answers a request or ends a connection."""

from __future__ import annotations

import re

from sageturn.core.close_reason import CloseReason
from sageturn.core.connection_record import ConnectionRecord
from sageturn.core.relay_context import RelayContext
from sageturn.decision import ReportSource
from sageturn.decision.load_reports import MAX_REPORT_BYTES, parse_report

MAX_LAST_LINE_BYTES = MAX_REPORT_BYTES + 16  # maximum length of a reply's code and its load report

# The patterns are strict, so that no garbled line is forwarded to a client as the endpoint's answer.
_ESTABLISHED = re.compile(rb"UP [ -~]+\r\n")
_REPLY = re.compile(rb"[A-Z]+( [ -~]*)?\r\n")
_FIRST_REPLIES = {
    b"BUSY": CloseReason.BUSY,
    b"ERR": CloseReason.ERROR,
    b"BYE": CloseReason.SERVED,
    b"MOVE": CloseReason.SENT_AWAY,
}
_LAST_REPLIES = {b"BYE": CloseReason.SERVED, b"MOVE": CloseReason.SENT_AWAY}


class EndpointReplyParser:
    """Parser of an endpoint's first and last lines, which records the load reports in them."""

    def __init__(self, context: RelayContext, record: ConnectionRecord) -> None:
        self._context = context
        self._record = record

    def parse_first_reply(self, buffer: bytearray, end: int, filled: int) -> CloseReason | None:
        """Parse the endpoint's first line.

        Args:
            buffer: begins with the line.
            end: the length of the line in bytes.
            filled: the number of bytes that were read into ``buffer``.

        Returns:
            None if the connection is established, or else the reason of the failure.
        """
        if _ESTABLISHED.fullmatch(buffer, 0, end):
            return None
        if not _REPLY.fullmatch(buffer, 0, filled):
            return CloseReason.GARBLED  # the line has another form, or further bytes follow it
        return self._parse(bytes(buffer[:end]), _FIRST_REPLIES, CloseReason.GARBLED)

    def parse_last_line(self, line: bytes) -> CloseReason:
        """Return why the endpoint closed an established connection, by the last line that it sent."""
        return self._parse(line, _LAST_REPLIES, CloseReason.ENDED)

    def _parse(
        self, line: bytes, close_reasons: dict[bytes, CloseReason], default: CloseReason
    ) -> CloseReason:
        code, *report = line.split(None, 1) or [b""]
        settings = self._context.balancer_actor.settings
        if code in close_reasons and report and settings.reports == ReportSource.ANSWERS:
            self._record.load_report = parse_report(
                report[0], settings.report_fields, self._context.invalid_report_values
            )
        return close_reasons.get(code, default)

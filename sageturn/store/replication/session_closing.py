"""The end of a replication session: the close reasons of both sides, and their last messages."""

from __future__ import annotations

from sageturn.store.errors import SessionRejectedError
from sageturn.store.replication import message_codec
from sageturn.store.replication.close_code import CloseCode
from sageturn.store.replication.errors import LinkNotAdmittedError
from sageturn.store.replication.membership import Member
from sageturn.store.replication.messages import Bye

NO_DETAIL = "no reason given"  # detail of a bye with an empty text, which ends the session too


class SessionClosing:
    """The close reasons of both sides. A side with an empty detail has not ended the session."""

    def __init__(self) -> None:
        self.detail = ""
        self.code: str = CloseCode.FAULT
        self.is_bye_sent = False
        self.peer_detail = ""
        self.peer_code = ""
        self.peer_bye: Bye | None = None
        self._alternatives: tuple[Member, ...] = ()

    @property
    def was_orderly(self) -> bool:
        """True if either side closed the session because it was not needed any more."""
        own_code = self.code if self.detail else ""
        return CloseCode.ORDERLY in (self.peer_code, own_code)

    @property
    def is_output_finished(self) -> bool:
        """True if nothing more is sent: the peer has ended the session, or this side's bye was sent."""
        return bool(self.peer_detail) or self.is_bye_sent

    def close(self, detail: str, code: str) -> bool:
        """Record why this side ends the session; return whether it is the first reason."""
        if self.detail:
            return False
        self.detail = detail
        self.code = code
        return True

    def on_rejection(self, rejection: SessionRejectedError) -> None:
        """Keep the code and the alternatives that the bye carries once the caller closes the session."""
        if isinstance(rejection, LinkNotAdmittedError):
            self._alternatives = rejection.alternatives
        if rejection.close_code != CloseCode.FAULT:
            self.code = rejection.close_code

    def make_bye(self) -> Bye:
        """Return this side's last message and count it as sent."""
        self.is_bye_sent = True
        return Bye(self.code, self.detail, self._alternatives)

    def on_bye(self, body: object) -> None:
        """Handle the peer's last message.

        The session has ended even if the alternatives that the body names are malformed, which raises
        SessionRejectedError or one of ``MALFORMED_BODY_ERRORS``.
        """
        bye = message_codec.decode_bye(body)
        self.peer_detail = bye.detail or NO_DETAIL
        self.peer_code = bye.close_code
        self.peer_bye = bye
        self.peer_bye = message_codec.decode_bye_alternatives(bye, body)

    def on_disconnected(self, detail: str) -> None:
        """Count the session as ended by the peer, unless either side has already given a reason."""
        if not self.detail:
            self.peer_detail = self.peer_detail or detail

"""Every way in which a connection to an endpoint can end, and what the module is told of each."""

from __future__ import annotations

from enum import Enum, auto

from sageturn.decision import NOT_EXECUTED_STATUSES


class CloseReason(Enum):
    SERVED = auto()  # the endpoint said that it is done
    SENT_AWAY = auto()  # a draining endpoint asked the client to go elsewhere
    ERROR = auto()  # the endpoint answered with an error
    GARBLED = auto()  # the endpoint answered with something that is no answer
    BUSY = auto()  # the endpoint turned the request away unseen
    REFUSED = auto()  # nobody listens there
    NO_CONNECT = auto()  # the connection never came up
    CUT_BEFORE_WRITTEN = auto()  # it broke before the request was wholly written
    RESET = auto()  # it broke after that
    ENDED = auto()  # it was closed without a word after that
    TIMEOUT = auto()  # nothing came while the relay waited
    MUTE = auto()  # a standing connection brings nothing back
    CANCELLED = auto()  # the module called the attempt off
    MOVED = auto()  # the module, or a shutdown, sent the client elsewhere
    CUT_OFF = auto()  # it was to be moved, but took no word of it while there was time
    CLIENT_LEFT = auto()  # the client closed in order
    CLIENT_RESET = auto()  # the client's connection broke
    CLIENT_FAULT = auto()  # the client did not wait for its answer, and sent more than it may
    NOT_SENT = auto()  # the relay could not even begin (no address, no descriptor, or its endpoint drains)


_STATUS = {
    CloseReason.SERVED: "ok",
    CloseReason.SENT_AWAY: "cancelled",
    CloseReason.ERROR: "error",
    CloseReason.GARBLED: "error",
    CloseReason.BUSY: "full",
    CloseReason.REFUSED: "connect_failed",
    CloseReason.NO_CONNECT: "connect_failed",
    CloseReason.CUT_BEFORE_WRITTEN: "connect_failed",
    CloseReason.RESET: "reset",
    CloseReason.ENDED: "reset",
    CloseReason.TIMEOUT: "timeout",
    CloseReason.MUTE: "reset",
    CloseReason.CANCELLED: "cancelled",
    CloseReason.MOVED: "cancelled",
    CloseReason.CUT_OFF: "cancelled",
    CloseReason.CLIENT_LEFT: "cancelled",
    CloseReason.CLIENT_RESET: "cancelled",
    CloseReason.CLIENT_FAULT: "cancelled",
    CloseReason.NOT_SENT: "moot",
}


def outcome_status(close_reason: CloseReason) -> str:
    """The module's word for an ending; the only place where the two vocabularies meet."""
    return _STATUS[close_reason]


def may_have_run(close_reason: CloseReason) -> bool:
    """By the module's own word on it, so that core and module cannot come to differ."""
    return outcome_status(close_reason) not in NOT_EXECUTED_STATUSES

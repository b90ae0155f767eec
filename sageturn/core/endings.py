"""Every way in which a connection to an endpoint can end, and what the module is told of each."""

from __future__ import annotations

from enum import Enum, auto

from sageturn.interface import NEVER_RAN


class Ending(Enum):
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
    Ending.SERVED: "ok",
    Ending.SENT_AWAY: "cancelled",
    Ending.ERROR: "error",
    Ending.GARBLED: "error",
    Ending.BUSY: "full",
    Ending.REFUSED: "connect_failed",
    Ending.NO_CONNECT: "connect_failed",
    Ending.CUT_BEFORE_WRITTEN: "connect_failed",
    Ending.RESET: "reset",
    Ending.ENDED: "reset",
    Ending.TIMEOUT: "timeout",
    Ending.MUTE: "reset",
    Ending.CANCELLED: "cancelled",
    Ending.MOVED: "cancelled",
    Ending.CUT_OFF: "cancelled",
    Ending.CLIENT_LEFT: "cancelled",
    Ending.CLIENT_RESET: "cancelled",
    Ending.CLIENT_FAULT: "cancelled",
    Ending.NOT_SENT: "moot",
}


def outcome_status(ending: Ending) -> str:
    """The module's word for an ending; the only place where the two vocabularies meet."""
    return _STATUS[ending]


def may_have_run(ending: Ending) -> bool:
    """By the module's own word on it, so that core and module cannot come to differ."""
    return outcome_status(ending) not in NEVER_RAN

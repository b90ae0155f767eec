"""The reasons for which a connection to an endpoint closes, and the balancer's status for each."""

from __future__ import annotations

from enum import Enum, auto

from sageturn.decision import NOT_EXECUTED_STATUSES


class CloseReason(Enum):
    """Says why a connection closed.

    The names in lower case are keys of the state record ``state/NODE/relay``.
    """

    SERVED = auto()  # the endpoint said that it is done
    SENT_AWAY = auto()  # a draining endpoint asked the client to go elsewhere
    ERROR = auto()  # the endpoint answered with an error
    GARBLED = auto()  # the endpoint's answer could not be parsed
    BUSY = auto()  # the endpoint rejected the request without executing it
    REFUSED = auto()  # connection refused: nobody listens there
    NO_CONNECT = auto()  # the connection was never established
    CUT_BEFORE_WRITTEN = auto()  # it broke before the request was written completely
    RESET = auto()  # it broke after that
    ENDED = auto()  # the endpoint closed it after that, without an answer
    TIMEOUT = auto()  # the endpoint did not answer in time
    MUTE = auto()  # idle timeout: the endpoint of an established connection sends nothing any more
    CANCELLED = auto()  # the balancer abandoned the attempt
    MOVED = auto()  # the client was migrated, by the balancer or a shutdown
    CUT_OFF = auto()  # it was to be migrated, but did not take the notice in time
    CLIENT_LEFT = auto()  # the client closed in order
    CLIENT_RESET = auto()  # the client's connection broke
    CLIENT_FAULT = auto()  # the client did not wait for its answer, and sent more than it may
    NOT_SENT = auto()  # the attempt could not begin: no address, no descriptor, or the endpoint drains


# The client can't be answered any more.
CLIENT_DISCONNECTED = (CloseReason.CLIENT_LEFT, CloseReason.CLIENT_RESET)
# No further attempt is made for the client.
CLIENT_FINISHED = (*CLIENT_DISCONNECTED, CloseReason.CLIENT_FAULT)
# The endpoint can't have received the complete request, so that the attempt may be repeated at once.
NOT_WRITTEN_REASONS = (CloseReason.NO_CONNECT, CloseReason.CUT_BEFORE_WRITTEN, CloseReason.NOT_SENT)

_STATUS_BY_REASON = {
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
    """Return the balancer's status for a close reason; the two vocabularies meet only here."""
    return _STATUS_BY_REASON[close_reason]


def may_have_been_executed(close_reason: CloseReason) -> bool:
    """Return whether the endpoint may have executed the request, by the balancer's list of statuses."""
    return outcome_status(close_reason) not in NOT_EXECUTED_STATUSES

"""The reasons for which a connection to an endpoint closes, and the balancer's status for each."""

from __future__ import annotations

from enum import Enum, auto

from sageturn.decision import NOT_EXECUTED_STATUSES, AttemptStatus


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
    CloseReason.SERVED: AttemptStatus.OK,
    CloseReason.SENT_AWAY: AttemptStatus.CANCELLED,
    CloseReason.ERROR: AttemptStatus.ERROR,
    CloseReason.GARBLED: AttemptStatus.ERROR,
    CloseReason.BUSY: AttemptStatus.FULL,
    CloseReason.REFUSED: AttemptStatus.CONNECT_FAILED,
    CloseReason.NO_CONNECT: AttemptStatus.CONNECT_FAILED,
    CloseReason.CUT_BEFORE_WRITTEN: AttemptStatus.CONNECT_FAILED,
    CloseReason.RESET: AttemptStatus.RESET,
    CloseReason.ENDED: AttemptStatus.RESET,
    CloseReason.TIMEOUT: AttemptStatus.TIMEOUT,
    CloseReason.MUTE: AttemptStatus.RESET,
    CloseReason.CANCELLED: AttemptStatus.CANCELLED,
    CloseReason.MOVED: AttemptStatus.CANCELLED,
    CloseReason.CUT_OFF: AttemptStatus.CANCELLED,
    CloseReason.CLIENT_LEFT: AttemptStatus.CANCELLED,
    CloseReason.CLIENT_RESET: AttemptStatus.CANCELLED,
    CloseReason.CLIENT_FAULT: AttemptStatus.CANCELLED,
    CloseReason.NOT_SENT: AttemptStatus.MOOT,
}


def outcome_status(close_reason: CloseReason) -> AttemptStatus:
    """Return the balancer's status for a close reason; the two vocabularies meet only here."""
    return _STATUS_BY_REASON[close_reason]


def may_have_been_executed(close_reason: CloseReason) -> bool:
    """Return whether the endpoint may have executed the request, by the balancer's list of statuses."""
    return outcome_status(close_reason) not in NOT_EXECUTED_STATUSES

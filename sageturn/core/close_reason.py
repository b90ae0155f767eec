"""The reasons for closing a connection to an endpoint, and the balancer's status for each."""

from __future__ import annotations

from enum import Enum, auto

from sageturn.decision import NOT_EXECUTED_STATUSES, AttemptStatus


class CloseReason(Enum):
    """Reason for which a connection closed.

    The names in lower case are keys of the state record ``state/NODE/relay``.
    """

    SERVED = auto()  # the endpoint reported that it is done with the request
    SENT_AWAY = auto()  # a draining endpoint asked the client to reconnect elsewhere
    ERROR = auto()  # the endpoint answered with an error
    GARBLED = auto()  # the endpoint's answer could not be parsed
    BUSY = auto()  # the endpoint rejected the request without executing it
    REFUSED = auto()  # connection refused: nothing listens at the endpoint's address
    NO_CONNECT = auto()  # the transport connection could not be opened
    CUT_BEFORE_WRITTEN = auto()  # the connection broke before the request was written completely
    RESET = auto()  # the connection broke after the request was written
    ENDED = auto()  # the endpoint closed the connection after the request was written, without an answer
    TIMEOUT = auto()  # the endpoint did not answer in time
    MUTE = auto()  # idle timeout: the endpoint of an established connection is unresponsive
    CANCELLED = auto()  # the balancer abandoned the attempt
    MOVED = auto()  # the client was migrated, by the balancer or a shutdown
    CUT_OFF = auto()  # the client had to be migrated, but did not read the notice in time
    CLIENT_LEFT = auto()  # the client closed its connection in order
    CLIENT_RESET = auto()  # the client's connection broke
    CLIENT_FAULT = auto()  # the client sent more than is allowed before it was answered
    NOT_SENT = auto()  # nothing was sent, e.g. no address, no descriptor, or a draining endpoint


# The client has disconnected and can't be answered any more.
CLIENT_DISCONNECT_REASONS = (CloseReason.CLIENT_LEFT, CloseReason.CLIENT_RESET)
# The client ended the request, so no further attempt is made.
CLIENT_CAUSED_REASONS = (*CLIENT_DISCONNECT_REASONS, CloseReason.CLIENT_FAULT)

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
    """Return the balancer's status for a close reason. This is the only mapping between the two."""
    return _STATUS_BY_REASON[close_reason]


def may_have_been_executed(close_reason: CloseReason) -> bool:
    """Return whether the endpoint may have executed the request, according to the balancer's statuses."""
    return outcome_status(close_reason) not in NOT_EXECUTED_STATUSES

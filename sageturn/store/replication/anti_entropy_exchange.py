"""Anti-entropy within a replication session: decides when to compare trees, and runs both sides of it."""

from __future__ import annotations

from collections.abc import Iterable

from sageturn.store.errors import SessionRejectedError
from sageturn.store.replication import message_codec
from sageturn.store.replication.anti_entropy import AntiEntropyResponder, AntiEntropySync
from sageturn.store.replication.change_exchange import ChangeExchange
from sageturn.store.replication.convergence import ConvergenceMonitor
from sageturn.store.replication.messages import (
    Heartbeat,
    MessageKind,
    NodeRequest,
    NodeResponse,
    RecordRequest,
    RecordResponse,
)
from sageturn.store.replication.priority import PRIORITY_CLASSES, PriorityClass
from sageturn.store.replication.replicated_records import ReplicatedRecords
from sageturn.store.replication.send_allowance import SendAllowance


class AntiEntropyExchange:
    """Requester of records that the change streams missed, and responder to the peer's requests.

    Times are seconds of the monotonic clock that the caller passes in.
    """

    def __init__(self, records: ReplicatedRecords, changes: ChangeExchange, allowance: SendAllowance) -> None:
        self._changes = changes
        self._allowance = allowance
        self._sync = AntiEntropySync(records)
        self._responder = AntiEntropyResponder(records)
        self._convergence = ConvergenceMonitor(records)

    @property
    def rounds(self) -> int:
        """Number of Merkle tree comparisons that this side has started."""
        return self._sync.rounds

    @property
    def requested_items(self) -> int:
        """Number of tree nodes or keys that the peer waits for."""
        return self._responder.requested_items

    def start(self, priorities: Iterable[PriorityClass]) -> None:
        """Start comparing the Merkle trees of these priority classes."""
        for priority in priorities:
            self._sync.start(priority)

    # ------------------------------------------------------------ sending

    def next_message(self, now: float) -> NodeRequest | RecordRequest | NodeResponse | RecordResponse | None:
        """Return the next request of this side, else the response that the peer waits for, if any."""
        request = self._sync.next_request()
        if request is not None:
            return request
        return self._responder.next_response(now, self._allowance)

    def next_response_at(self, now: float) -> float | None:
        """Return when the budget allows the response that the peer waits for; None if it waits for none."""
        return self._allowance.next_chunk_at(now) if self._responder.has_request else None

    # ------------------------------------------------------------ receiving

    def on_request(self, kind: MessageKind, body: object) -> None:
        """Keep a request of the peer for an answer. Raise SessionRejectedError while another is pending."""
        if self._responder.has_request:
            raise SessionRejectedError("asked before the answer")
        if kind == MessageKind.NODE_REQUEST:
            self._responder.on_request(message_codec.decode_node_request(body))
        else:
            self._responder.on_request(message_codec.decode_record_request(body))

    def on_nodes(self, response: NodeResponse, now: float) -> None:
        """Handle Merkle tree nodes that were requested. Raise SessionRejectedError for any others."""
        self._sync.on_nodes(response)
        self._complete_round(now)

    def accept_record_response(self, response: RecordResponse) -> None:
        """Complete the outstanding request. Raise SessionRejectedError for records not requested."""
        self._sync.accept_record_response(response)

    def on_records_applied(self, count: int, now: float) -> None:
        """Handle an accepted response; ``count`` of its records were newer than the store's."""
        self._sync.on_records_applied(count)
        self._complete_round(now)

    def _complete_round(self, now: float) -> None:
        if not self._sync.is_active:
            self._changes.receiver.complete_unknown_backlogs()
            self._sync.on_finished(now)

    # ------------------------------------------------------------ convergence

    def on_heartbeat(self, heartbeat: Heartbeat, now: float) -> None:
        """Start a comparison of each class that still differs while no changes are in flight."""
        self._convergence.on_heartbeat(heartbeat)
        sender = self._changes.sender
        if sender is None:
            return
        for priority in PRIORITY_CLASSES:
            has_diverged = self._convergence.has_diverged(priority, heartbeat, self._changes.receiver, sender)
            if has_diverged and self._sync.may_repeat(now):
                self._convergence.on_repair_started(priority)
                self._sync.start(priority)

    def take_sync_time(self) -> float | None:
        """Return Unix seconds of a time whose changes both sides now have; see ``ConvergenceMonitor``."""
        return self._convergence.take_sync_time(self._changes.receiver, self._changes.sender)

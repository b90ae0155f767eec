"""Anti-entropy: comparing two replicas' Merkle trees, and fetching the records that differ."""

from __future__ import annotations

from collections.abc import Sequence
from enum import Enum, auto

from sageturn.store.errors import SessionRejectedError
from sageturn.store.records import StoreRecord, record_digest
from sageturn.store.replication.merkle_tree import DEPTH, FANOUT
from sageturn.store.replication.message_codec import record_to_wire
from sageturn.store.replication.messages import (
    MAX_REQUESTED_ITEMS,
    NodeContent,
    NodeRequest,
    NodeResponse,
    RecordRequest,
    RecordResponse,
    RecordVersion,
    TreeNode,
)
from sageturn.store.replication.priority import PriorityClass
from sageturn.store.replication.replicated_records import ReplicatedRecords
from sageturn.store.replication.send_allowance import MAX_CHUNK_BYTES, SendAllowance
from sageturn.store.replication.wire import encoded_size

MAX_REQUESTED_NODES = 64
MAX_REQUESTED_KEYS = MAX_REQUESTED_ITEMS
MAX_LISTED_KEYS = 32  # keys in a subtree that a response lists instead of its children's hashes
MIN_REPEAT_DELAY_S = 5.0
MAX_REPEAT_DELAY_S = 300.0


class _ExpectedResponse(Enum):
    NONE = auto()
    NODES = auto()
    RECORDS = auto()


class AntiEntropySync:
    """The requesting side: finds and requests the records that the peer has and this replica lacks.

    At most one request is outstanding. Times are monotonic seconds. ``rounds`` is the number of comparisons
    started.
    """

    def __init__(self, records: ReplicatedRecords) -> None:
        self._records = records
        self.rounds = 0
        self._pending_nodes: list[TreeNode] = []
        self._pending_keys: list[str] = []
        self._expected_response = _ExpectedResponse.NONE
        self._requested_nodes: list[TreeNode] = []
        self._requested_keys: list[str] = []
        self._records_applied = 0
        self._repeat_delay_s = MIN_REPEAT_DELAY_S
        self._repeat_at = 0.0

    @property
    def is_active(self) -> bool:
        """True if a comparison is in progress."""
        return (
            bool(self._pending_nodes or self._pending_keys)
            or self._expected_response != _ExpectedResponse.NONE
        )

    def may_repeat(self, now: float) -> bool:
        """Return whether a comparison may start now to repair what the change streams have missed."""
        return now >= self._repeat_at and not self.is_active

    def start(self, priority: PriorityClass) -> None:
        """Start comparing the trees of a priority class, from their roots."""
        if any(node.priority == priority for node in self._pending_nodes):
            return
        self.rounds += 1
        self._records_applied = 0
        self._pending_nodes.append(TreeNode(priority, 0, 0))

    def next_request(self) -> NodeRequest | RecordRequest | None:
        """Return the next request and count it as sent; None if there is none to send now."""
        if self._expected_response != _ExpectedResponse.NONE:
            return None
        if self._pending_keys:
            self._requested_keys = self._pending_keys[:MAX_REQUESTED_KEYS]
            self._pending_keys = self._pending_keys[MAX_REQUESTED_KEYS:]
            self._expected_response = _ExpectedResponse.RECORDS
            return RecordRequest(self._requested_keys)
        if self._pending_nodes:
            # Depth-first order: requesting the nodes found last first keeps the pending list short.
            self._requested_nodes = self._pending_nodes[-MAX_REQUESTED_NODES:]
            self._pending_nodes = self._pending_nodes[:-MAX_REQUESTED_NODES]
            self._expected_response = _ExpectedResponse.NODES
            return NodeRequest(self._requested_nodes)
        return None

    def on_nodes(self, response: NodeResponse) -> None:
        """Queue the child nodes and the keys in which a response differs, to be requested next.

        Raises:
            SessionRejectedError: The response does not fit the request.
        """
        self._check_response(_ExpectedResponse.NODES, len(self._requested_nodes), response.count)
        answered = self._requested_nodes[: response.count]
        missing_keys: list[str] = []
        different_nodes: list[TreeNode] = []
        for node, content in zip(answered, response.contents, strict=True):
            if isinstance(content, list):
                different_nodes += self._different_children(node, content)
            else:
                missing_keys += [key for key, version in content.items() if self._lacks(key, version)]
        self._expected_response = _ExpectedResponse.NONE
        self._pending_keys += missing_keys
        self._pending_nodes += self._requested_nodes[response.count :] + different_nodes

    def _different_children(self, node: TreeNode, peer_hashes: list[int]) -> list[TreeNode]:
        priority, depth, position = node
        if depth >= DEPTH:
            raise SessionRejectedError("no node of the tree")
        own_hashes = self._records.changes.trees[priority].children(depth, position)
        return [
            TreeNode(priority, depth + 1, position * FANOUT + number)
            for number, (peer_hash, own_hash) in enumerate(zip(peer_hashes, own_hashes, strict=True))
            if peer_hash != own_hash
        ]

    def _lacks(self, key: str, offered: RecordVersion) -> bool:
        known = self._records.store.record(key)
        offered_order = offered.version, offered.node
        if known is None or known.order != offered_order:
            return known is None or known.order < offered_order
        return offered.digest > record_digest(known)

    def accept_record_response(self, response: RecordResponse) -> None:
        """Complete the outstanding request, before the records of the response are applied.

        Raises:
            SessionRejectedError: The response does not fit the request.
        """
        self._check_response(_ExpectedResponse.RECORDS, len(self._requested_keys), response.count)
        answered = set(self._requested_keys[: response.count])
        if not {record.key for record in response.records} <= answered:
            raise SessionRejectedError("a record that nobody asked for")
        self._expected_response = _ExpectedResponse.NONE
        self._pending_keys += self._requested_keys[response.count :]

    def on_records_applied(self, count: int) -> None:
        """Count the records of an accepted response that were newer than the store's."""
        self._records_applied += count

    def on_finished(self, now: float) -> None:
        """Set the earliest time of the next comparison, once no request is left."""
        if self._records_applied:
            self._repeat_delay_s = MIN_REPEAT_DELAY_S
        else:
            # The sides may differ only because they discard tombstones at different times.
            self._repeat_delay_s = min(MAX_REPEAT_DELAY_S, self._repeat_delay_s * 2)
        self._repeat_at = now + self._repeat_delay_s

    def _check_response(self, kind: _ExpectedResponse, requested: int, answered: int) -> None:
        if self._expected_response != kind or not 1 <= answered <= requested:
            raise SessionRejectedError("an answer that nobody asked for")


class AntiEntropyResponder:
    """The responding side, which keeps at most one request pending."""

    def __init__(self, records: ReplicatedRecords) -> None:
        self._records = records
        self._request: NodeRequest | RecordRequest | None = None

    @property
    def has_request(self) -> bool:
        """True if the peer waits for a response."""
        return self._request is not None

    @property
    def requested_items(self) -> int:
        """Number of tree nodes or keys in the pending request."""
        match self._request:
            case NodeRequest(nodes):
                return len(nodes)
            case RecordRequest(keys):
                return len(keys)
            case None:
                return 0

    def on_request(self, request: NodeRequest | RecordRequest) -> None:
        """Keep a request until it is answered.

        Raises:
            SessionRejectedError: Another request is still pending.
        """
        if self._request is not None:
            raise SessionRejectedError("asked before the answer")
        self._request = request

    def next_response(self, now: float, allowance: SendAllowance) -> NodeResponse | RecordResponse | None:
        """Return as much of the response as fits into one chunk; None if nothing may be sent now."""
        request = self._request
        if request is None or not allowance.may_send_chunk(now):
            return None
        self._request = None
        if isinstance(request, NodeRequest):
            return self._respond_with_nodes(request.nodes)
        return self._respond_with_records(request.keys)

    def _respond_with_nodes(self, nodes: Sequence[TreeNode]) -> NodeResponse:
        contents: list[NodeContent] = []
        remaining_bytes = MAX_CHUNK_BYTES
        for node in nodes:
            content = self._content_of(node)
            size = encoded_size(content)
            if contents and size > remaining_bytes:
                break
            remaining_bytes -= size
            contents.append(content)
        return NodeResponse(len(contents), contents)

    def _respond_with_records(self, keys: Sequence[str]) -> RecordResponse:
        answered = 0
        records: list[StoreRecord] = []
        remaining_bytes = MAX_CHUNK_BYTES
        for key in keys:
            record = self._records.store.record(key)
            size = encoded_size(None if record is None else record_to_wire(record))
            if answered and size > remaining_bytes:
                break
            remaining_bytes -= size
            answered += 1
            if record is not None:
                records.append(record)
        return RecordResponse(answered, records)

    def _content_of(self, node: TreeNode) -> NodeContent:
        tree = self._records.changes.trees[node.priority]
        if node.depth < DEPTH and tree.count(node.depth, node.position) > MAX_LISTED_KEYS:
            return tree.children(node.depth, node.position)
        versions = {}
        for key, digest in tree.entries(node.depth, node.position).items():
            record = self._records.store.record(key)
            assert record is not None, key
            versions[key] = RecordVersion(record.version, record.node, digest)
        return versions

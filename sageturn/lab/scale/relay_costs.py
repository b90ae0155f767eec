"""Costs of reading the endpoint list, of balancing decisions and of flow records, by size.

The encoded field names of the structs are the keys of a cost line.
"""

from __future__ import annotations

import json

from msgspec import Struct, field

from sageturn import decision
from sageturn.core.close_reason import CloseReason
from sageturn.core.connection_record import ConnectionRecord
from sageturn.core.messages import ClientRequest
from sageturn.decision.balancer import Balancer
from sageturn.flows.exporter import to_flow
from sageturn.lab.scale.cost_measurement import min_cpu_s
from sageturn.net.endpoint_list import parse_endpoint_list
from sageturn.net.json_stream import JsonObject

REQUESTS_PER_BATCH = 400
MEASURED_BATCHES = 3
REQUEST_INTERVAL_MS = 4.0
REQUEST_TIMEOUT_MS = 2000.0
RECORDS_PER_REPEAT = 1000


class ListCost(Struct, frozen=True):
    """Size of an encoded endpoint list, and the processor time to read it."""

    byte_count: int = field(name="octets")
    read_s: float


class DecisionCost(Struct, frozen=True):
    """Processor times of a request, a full list and a list's change, and the ratio of placed requests."""

    request_s: float
    list_s: float
    change_s: float
    placed_ratio: float = field(name="sent")


class FlowCost(Struct, frozen=True):
    """Size of an encoded flow record, and the processor time to encode it."""

    byte_count: int = field(name="octets")
    encode_s: float


def endpoint_list(endpoint_count: int) -> JsonObject:
    """Return a full endpoint list of ``endpoint_count`` entries as discovery writes it."""
    return {
        "version": 1,
        "full": True,
        "servers": [
            {
                "id": f"h{number:05d}",
                "addr": f"10.0.{number // 256}.{number % 256}:8081",
                "zone": f"z{number % 5}",
                "kind": "c2-std",
                "cell": 0,
                "state": decision.EndpointStatus.READY,
                "weight": 1.0,
                "started_ms": 0,
            }
            for number in range(endpoint_count)
        ],
    }


def list_reading(endpoint_count: int) -> ListCost:
    """Measure decoding and validating a full endpoint list."""
    text = json.dumps(endpoint_list(endpoint_count))
    return ListCost(len(text), min_cpu_s(lambda: parse_endpoint_list(json.loads(text))))


class _RequestLoad:
    """Load of sequential requests on a balancer; each arrives, is connected and ends successfully."""

    def __init__(self, balancer: Balancer) -> None:
        self._balancer = balancer
        self.request_count = 0
        self.placed_count = 0

    def run_batch(self) -> None:
        """Run the next REQUESTS_PER_BATCH requests."""
        for _ in range(REQUESTS_PER_BATCH):
            self._run_request(self.request_count)
            self.request_count += 1

    def _run_request(self, number: int) -> None:
        now_ms = 1000.0 + number * REQUEST_INTERVAL_MS
        arrived = decision.RequestArrived(number, "c", "t", deadline_ms=now_ms + REQUEST_TIMEOUT_MS)
        actions = self._balancer.handle(now_ms, arrived)
        endpoint = next((act.endpoint for act in actions if isinstance(act, decision.PlaceRequest)), None)
        if endpoint is None:
            return
        self.placed_count += 1
        self._balancer.handle(now_ms + 1.0, decision.ConnectionEstablished(number, 0, endpoint))
        self._balancer.handle(
            now_ms + 2.0, decision.AttemptEnded(number, 0, endpoint, decision.AttemptStatus.OK, final=True)
        )


def decisions(endpoint_count: int) -> DecisionCost:
    """Measure the balancer's handling of a request's three events, a full list, and one endpoint's change."""
    settings = decision.Settings(
        classes=(decision.RequestClass("c", latency_objective_ms=500.0),),
        tenants=(decision.Tenant("t", 1e9, 1e9),),
        relay_count=460,
        discovery="push",
    )
    balancer = Balancer(settings, 1)
    listed = parse_endpoint_list(endpoint_list(endpoint_count))
    list_s = min_cpu_s(
        lambda: balancer.handle(
            0.0, decision.EndpointListEvent(decision.ListEventKind.FULL, listed.endpoints)
        ),
        repeats=1,
    )
    load = _RequestLoad(balancer)
    load.run_batch()  # warm-up batch, not timed
    request_s = min_cpu_s(load.run_batch, MEASURED_BATCHES) / REQUESTS_PER_BATCH
    draining = [decision.Endpoint("h00001", decision.EndpointStatus.DRAINING, zone="z1")]
    change_s = min_cpu_s(
        lambda: balancer.handle(1e6, decision.EndpointListEvent(decision.ListEventKind.CHANGES, draining))
    )
    placed_ratio = load.placed_count / load.request_count
    return DecisionCost(request_s, list_s, change_s, placed_ratio)


def flow_record(name_length: int) -> FlowCost:
    """Measure encoding an ended connection's flow record; class and tenant names are ``name_length`` long."""
    request = ClientRequest("c" * name_length, "t" * name_length, REQUEST_TIMEOUT_MS)
    record = ConnectionRecord(request, 1.0, client_address=("10.0.0.1", 40000))
    record.endpoint = "h"
    record.endpoint_address = ("10.0.0.2", 8081)
    record.ended_ms = 2.0
    record.close_reason = CloseReason.MOVED

    def encode() -> None:
        for _ in range(RECORDS_PER_REPEAT):
            to_flow(record).encode()

    return FlowCost(len(to_flow(record).encode()), min_cpu_s(encode) / RECORDS_PER_REPEAT)

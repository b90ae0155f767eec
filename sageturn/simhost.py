"""Adapter between a simulator and the balancer: reads lines of JSON, and writes one line for each.

Run as ``python -m sageturn.simhost``. An input line contains events for any number of balancer instances, the
output line the actions that these balancers return; the adapter itself decides nothing. Invalid input ends
the process with one line on standard error.
"""

from __future__ import annotations

import sys
from collections.abc import Callable, Mapping
from operator import itemgetter
from typing import Any, TypeVar

import orjson

from sageturn import decision
from sageturn.config.settings import read_settings, text_or_empty
from sageturn.decision import AttemptStatus, EndpointStatus, ListEventKind, MeasurementKind
from sageturn.decision.balancer import Balancer
from sageturn.decision.discovery_backoff import classify_rejection
from sageturn.decision.load_reports import select_usable_values

# Tables from the values on the wire to those of the decision module.
ATTEMPT_STATUSES = {
    "pass": AttemptStatus.OK,
    "fault": AttemptStatus.ERROR,
    "no_room": AttemptStatus.FULL,
    "too_slow": AttemptStatus.TIMEOUT,
    "no_route": AttemptStatus.CONNECT_FAILED,
    "cut": AttemptStatus.RESET,
    "undone": AttemptStatus.CANCELLED,
    "stale_send": AttemptStatus.MOOT,
}
ENDPOINT_STATES = {
    "Ready": EndpointStatus.READY,
    "Terminating": EndpointStatus.DRAINING,
    "Gone": EndpointStatus.REMOVED,
}
LIST_KINDS = {
    "D": ListEventKind.CHANGES,
    "F": ListEventKind.FULL,
    "C": ListEventKind.STALE,
    "X": ListEventKind.FAILED,
}
MEASUREMENT_KINDS = {1: MeasurementKind.LOAD, 2: MeasurementKind.DELAY}

START_INSTANCE = "Enlist"
END_INSTANCE = "Teardown"
IGNORED_EVENTS = ("Whisper",)  # messages between relays, which the decision module does not use
MICROSECONDS_PER_MILLISECOND = 1000.0

Fields = dict[str, Any]  # decoded JSON object with the fields of one event or action


class WireError(Exception):
    """Error of a line that cannot be decoded or handled; the text names the event and the fault."""


# ---------------------------------------------------------------- decoding

FieldReader = Callable[[Fields], object]
Decoded = TypeVar("Decoded")


def _make_decoder(record_type: Callable[..., Decoded], **readers: FieldReader) -> Callable[[Fields], Decoded]:
    """Return a function that decodes a ``record_type``; ``readers`` are keyed by the record's attributes."""
    attribute_readers = tuple(readers.items())

    def decode(fields: Fields) -> Decoded:
        return record_type(**{attribute: read(fields) for attribute, read in attribute_readers})

    return decode


def _required(key: str) -> FieldReader:
    """Return a reader of any value, which raises KeyError if the key is missing."""
    return itemgetter(key)


def _optional(key: str, default: float = 0.0) -> FieldReader:
    """Return a reader of a number; ``default`` replaces one that is missing, null or 0."""
    return lambda fields: fields.get(key) or default


def _text(key: str) -> FieldReader:
    """Return a reader of a string; a missing value, or one of another type, is read as empty."""
    return lambda fields: text_or_empty(fields.get(key))


def _flag(key: str) -> FieldReader:
    """Return a reader of a boolean; a missing value is read as False."""
    return lambda fields: bool(fields.get(key))


def _enum_value(key: str, values: Mapping[str, str]) -> FieldReader:
    """Return a reader of an enumeration's value; ``values`` maps the wire's to the decision module's."""
    return lambda fields: values[fields[key]]


def _report(key: str) -> FieldReader:
    """Return a reader of a load report; a missing one is read as empty."""
    return lambda fields: select_usable_values(fields.get(key))


_decode_endpoint = _make_decoder(
    decision.Endpoint,
    name=_required("backend"),
    state=_enum_value("condition", ENDPOINT_STATES),
    zone=_text("dc"),
    cell=_optional("cohort", 0),
    started_at_ms=_optional("readyAtMs"),
    weight=_optional("share", 1.0),
    kind=_text("kind"),
)


def _decode_list(fields: Fields) -> decision.EndpointListEvent:
    endpoints = [_decode_endpoint(line) for line in fields["nodesList"] or ()]
    return decision.EndpointListEvent(LIST_KINDS[fields["mode"]], endpoints)


def _decode_measurement(fields: Fields) -> decision.MeasurementReported:
    kind = MEASUREMENT_KINDS.get(fields["kind"], "")
    value = fields["value"]
    if kind == MeasurementKind.LOAD:
        value /= MICROSECONDS_PER_MILLISECOND  # expected loads are in milliseconds per second
    return decision.MeasurementReported(fields["opId"], fields["n"], fields["backend"], kind, value)


# Decoders by the event's name on the wire. They read the fields in the listed order, so that an error names
# the first missing one.
DECODERS: dict[str, Callable[[Fields], decision.Event]] = {
    "Inbound": _make_decoder(
        decision.RequestArrived,
        id=_required("opId"),
        class_name=_required("cls"),
        tenant=_text("party"),
        deadline_ms=_required("giveUpAtMs"),
        group=_text("room"),
        expected_load=_optional("costMs"),
        is_takeover=_flag("midflow"),
        is_retry=_flag("isRetry"),
    ),
    "Inherited": _make_decoder(
        decision.ConnectionAdopted,
        id=_required("opId"),
        class_name=_required("cls"),
        tenant=_text("party"),
        endpoint=_required("backend"),
        group=_text("room"),
        expected_load=_optional("costMs"),
    ),
    "Started": _make_decoder(
        decision.ConnectionEstablished,
        id=_required("opId"),
        attempt=_required("n"),
        endpoint=_required("backend"),
        duration_ms=_optional("timeTakenMs"),
    ),
    "Returned": _make_decoder(
        decision.AttemptEnded,
        status=_enum_value("stateCode", ATTEMPT_STATUSES),
        id=_required("opId"),
        attempt=_required("n"),
        endpoint=_required("backend"),
        final=_required("terminal"),
        report=_report("report"),
    ),
    "Checked": _make_decoder(
        decision.HealthCheckCompleted,
        endpoint=_required("backend"),
        status=_enum_value("stateCode", ATTEMPT_STATUSES),
        report=_report("report"),
    ),
    "ClientLeft": _make_decoder(decision.ClientDisconnected, id=_required("opId")),
    "Wake": _make_decoder(decision.TimerFired, tag=_required("mark")),
    "UpdateOf": _decode_measurement,
    "Fleet": _decode_list,
}


# ---------------------------------------------------------------- encoding


def encode_action(action: decision.Action) -> dict[str, Fields]:
    """Return an action under its name on the wire, with its fields in the wire's order."""
    match action:
        case decision.PlaceRequest():
            return {"Relay": {"opId": action.id, "backend": action.endpoint, "patienceMs": action.timeout_ms}}
        case decision.RejectRequest():
            return {"Reject": {"opId": action.id, "retryAfterMs": action.retry_after_ms}}
        case decision.FailRequest():
            return {"GiveUp": {"opId": action.id}}
        case decision.AbandonAttempt():
            return {"Abandon": {"opId": action.id, "n": action.attempt}}
        case decision.MigrateConnection():
            return {"Transfer": {"opId": action.id}}
        case decision.SetTimer():
            return {"Sleep": {"offsetMs": action.delay_ms, "mark": action.tag}}
        case decision.CheckHealth():
            return {"Check": {"backend": action.endpoint}}
        case decision.WatchEndpoints():
            return {"Observe": {"active": True}}


class SimulatorLink:
    """The balancer instances of one process, which share no state."""

    def __init__(self) -> None:
        self.instances: dict[int, Balancer] = {}  # keyed by instance number
        # Simulated time at which an instance sent its unanswered watch request, keyed by instance number.
        self._watch_requested_ms: dict[int, float] = {}
        self._current_event = ""  # name of the event that is being handled, for error messages

    def handle_line(self, line: bytes) -> bytes:
        """Handle a line of events. Return the line of actions, without a newline.

        Raises:
            WireError: the line is not JSON, or an event is unknown, invalid or for an instance that does not
                exist.
        """
        try:
            batch = orjson.loads(line)
        except orjson.JSONDecodeError as error:
            raise WireError(f"not JSON: {error}") from error
        self._current_event = "batch"
        try:
            groups = self._handle_batch(batch)
        except KeyError as error:
            raise WireError(f"{self._current_event}: missing or unknown {error}") from error
        except (TypeError, ValueError, AttributeError) as error:
            raise WireError(f"{self._current_event}: {error}") from error
        return orjson.dumps({"groups": groups})

    def _handle_batch(self, batch: Fields) -> list[Fields]:
        now_ms = batch["momentMs"]
        groups = []
        for group in batch["groups"]:
            number = group["i"]
            actions: list[Fields] = []
            for message in group["events"]:
                ((self._current_event, fields),) = message.items()
                if self._current_event == END_INSTANCE:
                    actions.clear()  # actions that the instance returned before it was killed are discarded
                actions += self._handle_message(now_ms, number, self._current_event, fields)
            if actions:
                groups.append({"i": number, "actions": actions})
        return groups

    def _handle_message(self, now_ms: float, number: int, name: str, fields: Fields) -> list[Fields]:
        """Start or end an instance, or have it handle an event. Returns the encoded actions."""
        decode = DECODERS.get(name)
        if decode is not None:
            if number not in self.instances:
                raise WireError(f"{name} for instance {number}, which was never enlisted")
            return self._handle_event(now_ms, number, decode(fields))
        if name == START_INSTANCE:
            self.instances[number] = Balancer(read_settings(fields["conf"]), fields["entropy"])
        elif name == END_INSTANCE:
            self.instances.pop(number, None)
            self._watch_requested_ms.pop(number, None)
        elif name not in IGNORED_EVENTS:
            raise WireError(f"unknown event {name}")
        return []

    def _handle_event(self, now_ms: float, number: int, event: decision.Event) -> list[Fields]:
        if isinstance(event, decision.EndpointListEvent):
            self._classify_failure(now_ms, number, event)
        encoded = []
        for action in self.instances[number].handle(now_ms, event):
            if isinstance(action, decision.WatchEndpoints):
                self._watch_requested_ms[number] = now_ms
            encoded.append(encode_action(action))
        return encoded

    def _classify_failure(self, now_ms: float, number: int, event: decision.EndpointListEvent) -> None:
        """Set the cause of a failed watch, which the wire does not carry.

        The cause follows from how long the watch request had waited for its response. A failure while no
        request is unanswered means that an established watch was lost.
        """
        if event.kind == ListEventKind.STALE:
            return
        requested_ms = self._watch_requested_ms.pop(number, None)
        if event.kind == ListEventKind.FAILED:
            if requested_ms is None:
                event.failure = decision.DiscoveryFailure.LOST
            else:
                event.failure = classify_rejection(now_ms - requested_ms)


def main() -> int:
    """Answer line by line until the input ends.

    Returns:
        The exit code: 0 at the end of the input, 1 if the output was closed or the process was interrupted,
        2 for invalid input.
    """
    link = SimulatorLink()
    output = sys.stdout.buffer
    try:
        for line in sys.stdin.buffer:
            if line.strip():
                output.write(link.handle_line(line) + b"\n")
                output.flush()
    except WireError as error:
        print(f"simhost: {error}", file=sys.stderr)
        return 2
    except (BrokenPipeError, KeyboardInterrupt):
        return 1
    return 0


if __name__ == "__main__":
    sys.exit(main())

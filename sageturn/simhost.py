"""The simulator's wire: one line of JSON in, one line out. It decodes and encodes, and decides nothing.

Run as ``python -m sageturn.simhost``. A line holds events for any number of balancer instances; the answer
holds the actions that they call for. What cannot be read ends the process with one line on standard error.
"""

from __future__ import annotations

import sys
from collections.abc import Callable
from typing import Any

import orjson

from sageturn import decision
from sageturn.config.settings import read_settings, text_or_empty
from sageturn.decision.balancer import Balancer
from sageturn.decision.discovery_backoff import classify_rejection
from sageturn.decision.load_reports import checked

# The wire's words on the left, the decision module's on the right.
ATTEMPT_STATUSES = {
    "pass": "ok",
    "fault": "error",
    "no_room": "full",
    "too_slow": "timeout",
    "no_route": "connect_failed",
    "cut": "reset",
    "undone": "cancelled",
    "stale_send": "moot",
}
ENDPOINT_STATES = {"Ready": "ready", "Terminating": "draining", "Gone": "gone"}
LIST_KINDS = {"D": "changes", "F": "full", "C": "stale", "X": "failed"}
MEASUREMENT_KINDS = {1: "load", 2: "delay"}

IGNORED_EVENTS = ("Whisper",)  # messages between relays: the module sends none
MICROSECONDS_PER_MILLISECOND = 1000.0

Fields = dict[str, Any]  # of one event or action, as JSON holds them


class WireError(Exception):
    """A line cannot be read; the text names the event and what was wrong with it."""


def _decode_list(fields: Fields) -> decision.EndpointListEvent:
    endpoints = [_decode_endpoint(line) for line in fields["nodesList"] or ()]
    return decision.EndpointListEvent(LIST_KINDS[fields["mode"]], endpoints)


def _decode_endpoint(fields: Fields) -> decision.Endpoint:
    return decision.Endpoint(
        name=fields["backend"],
        state=ENDPOINT_STATES[fields["condition"]],
        zone=text_or_empty(fields.get("dc")),
        cell=fields.get("cohort") or 0,
        started_at_ms=fields.get("readyAtMs") or 0.0,
        share=fields.get("share") or 1.0,
        kind=text_or_empty(fields.get("kind")),
    )


def _decode_request(fields: Fields) -> decision.RequestArrived:
    return decision.RequestArrived(
        id=fields["opId"],
        class_name=fields["cls"],
        tenant=text_or_empty(fields.get("party")),
        deadline_ms=fields["giveUpAtMs"],
        group=text_or_empty(fields.get("room")),
        expected_load=fields.get("costMs") or 0.0,
        midflow=bool(fields.get("midflow")),
        retried=bool(fields.get("isRetry")),
    )


def _decode_adopted(fields: Fields) -> decision.ConnectionAdopted:
    return decision.ConnectionAdopted(
        id=fields["opId"],
        class_name=fields["cls"],
        tenant=text_or_empty(fields.get("party")),
        endpoint=fields["backend"],
        group=text_or_empty(fields.get("room")),
        expected_load=fields.get("costMs") or 0.0,
    )


def _decode_established(fields: Fields) -> decision.ConnectionEstablished:
    return decision.ConnectionEstablished(
        id=fields["opId"],
        attempt=fields["n"],
        endpoint=fields["backend"],
        took_ms=fields.get("timeTakenMs") or 0.0,
    )


def _decode_attempt_ended(fields: Fields) -> decision.AttemptEnded:
    status = ATTEMPT_STATUSES[fields["stateCode"]]
    return decision.AttemptEnded(
        id=fields["opId"],
        attempt=fields["n"],
        endpoint=fields["backend"],
        status=status,
        final=fields["terminal"],
        report=checked(fields.get("report")),
    )


def _decode_health_check(fields: Fields) -> decision.HealthCheckCompleted:
    return decision.HealthCheckCompleted(
        endpoint=fields["backend"],
        status=ATTEMPT_STATUSES[fields["stateCode"]],
        report=checked(fields.get("report")),
    )


def _decode_disconnected(fields: Fields) -> decision.ClientDisconnected:
    return decision.ClientDisconnected(fields["opId"])


def _decode_timer(fields: Fields) -> decision.TimerFired:
    return decision.TimerFired(fields["mark"])


def _decode_measurement(fields: Fields) -> decision.MeasurementReported:
    kind = MEASUREMENT_KINDS.get(fields["kind"], "")
    value = fields["value"]
    if kind == "load":
        value /= MICROSECONDS_PER_MILLISECOND  # expected loads are in milliseconds a second
    return decision.MeasurementReported(fields["opId"], fields["n"], fields["backend"], kind, value)


DECODERS: dict[str, Callable[[Fields], decision.Event]] = {
    "Inbound": _decode_request,
    "Started": _decode_established,
    "Returned": _decode_attempt_ended,
    "Checked": _decode_health_check,
    "UpdateOf": _decode_measurement,
    "Wake": _decode_timer,
    "Fleet": _decode_list,
    "Inherited": _decode_adopted,
    "ClientLeft": _decode_disconnected,
}


def encode_action(action: decision.Action) -> dict[str, Fields]:
    """One action under the wire's name, with its fields in the wire's order."""
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
    """The balancer instances of one process, by their numbers; they share nothing but this table."""

    def __init__(self) -> None:
        self.instances: dict[int, Balancer] = {}
        # By instance: since when its call for the list is unanswered, in the simulator's milliseconds.
        self._call_started_ms: dict[int, float] = {}
        self._decoding = ""  # the event that is being handled, for the text of errors

    def answer(self, line: bytes) -> bytes:
        """Handle a line of events; returns the line of actions, without its end. Raises WireError."""
        try:
            batch = orjson.loads(line)
        except orjson.JSONDecodeError as error:
            raise WireError(f"not JSON: {error}") from error
        self._decoding = "batch"
        try:
            groups = self._handle_batch(batch)
        except KeyError as error:
            raise WireError(f"{self._decoding}: missing or unknown {error}") from error
        except (TypeError, ValueError, AttributeError) as error:
            raise WireError(f"{self._decoding}: {error}") from error
        return orjson.dumps({"groups": groups})

    def _handle_batch(self, batch: Fields) -> list[Fields]:
        now_ms = batch["momentMs"]
        groups = []
        for group in batch["groups"]:
            number = group["i"]
            actions: list[Fields] = []
            for message in group["events"]:
                ((self._decoding, fields),) = message.items()
                if self._decoding == "Teardown":
                    actions.clear()  # what an instance asked for before it was killed is not done
                actions += self._handle_message(now_ms, number, self._decoding, fields)
            if actions:
                groups.append({"i": number, "actions": actions})
        return groups

    def _handle_message(self, now_ms: float, number: int, name: str, fields: Fields) -> list[Fields]:
        """Either an event for an instance, or word of its start or its end."""
        decode = DECODERS.get(name)
        if decode is not None:
            if number not in self.instances:
                raise WireError(f"{name} for instance {number}, which was never enlisted")
            return self._handle_event(now_ms, number, decode(fields))
        if name == "Enlist":
            self.instances[number] = Balancer(read_settings(fields["conf"]), fields["entropy"])
        elif name == "Teardown":
            self.instances.pop(number, None)
            self._call_started_ms.pop(number, None)
        elif name not in IGNORED_EVENTS:
            raise WireError(f"unknown event {name}")
        return []

    def _handle_event(self, now_ms: float, number: int, event: decision.Event) -> list[Fields]:
        if isinstance(event, decision.EndpointListEvent):
            self._classify_failure(now_ms, number, event)
        actions = self.instances[number].handle(now_ms, event)
        if any(isinstance(action, decision.WatchEndpoints) for action in actions):
            self._call_started_ms[number] = now_ms
        return [encode_action(action) for action in actions]

    def _classify_failure(self, now_ms: float, number: int, event: decision.EndpointListEvent) -> None:
        """The wire does not say how a call failed: how long that took does, and what came before."""
        if event.kind == "stale":
            return
        started_ms = self._call_started_ms.pop(number, None)
        if event.kind == "failed":
            if started_ms is None:
                event.failure = decision.DiscoveryFailure.LOST
            else:
                event.failure = classify_rejection(now_ms - started_ms)


def main() -> int:
    """Answer line by line until the input ends. Returns the exit code: 2 for input that cannot be read."""
    link = SimulatorLink()
    output = sys.stdout.buffer
    try:
        for line in sys.stdin.buffer:
            if line.strip():
                output.write(link.answer(line) + b"\n")
                output.flush()
    except WireError as error:
        print(f"simhost: {error}", file=sys.stderr)
        return 2
    except (BrokenPipeError, KeyboardInterrupt):
        return 1
    return 0


if __name__ == "__main__":
    sys.exit(main())

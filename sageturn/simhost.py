"""The wire of the bench: one line of JSON in, one line out. It parses and prints, and decides nothing."""

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

STATUS = {
    "pass": "ok",
    "fault": "error",
    "no_room": "full",
    "too_slow": "timeout",
    "no_route": "connect_failed",
    "cut": "reset",
    "undone": "cancelled",
    "stale_send": "moot",
}
STATES = {"Ready": "ready", "Terminating": "draining", "Gone": "gone"}
LIST_KINDS = {"D": "changes", "F": "full", "C": "stale", "X": "failed"}
NOTES = {1: "load", 2: "delay"}

PASSED_OVER = ("Whisper",)  # the module does not talk to others


class WireError(Exception):
    """What came in cannot be read; the text names what was wrong."""


def read_list(e: dict[str, Any]) -> decision.EndpointListEvent:
    return decision.EndpointListEvent(
        LIST_KINDS[e["mode"]],
        [
            decision.Endpoint(
                name=line["backend"],
                state=STATES[line["condition"]],
                zone=text_or_empty(line.get("dc")),
                cell=line.get("cohort") or 0,
                started_at_ms=line.get("readyAtMs") or 0.0,
                share=line.get("share") or 1.0,
                kind=text_or_empty(line.get("kind")),
            )
            for line in e["nodesList"] or ()
        ],
    )


def read_request(e: dict[str, Any]) -> decision.RequestArrived:
    return decision.RequestArrived(
        e["opId"],
        e["cls"],
        text_or_empty(e.get("party")),
        e["giveUpAtMs"],
        text_or_empty(e.get("room")),
        e.get("costMs") or 0.0,
        bool(e.get("midflow")),
        retried=bool(e.get("isRetry")),
    )


def read_inherited(e: dict[str, Any]) -> decision.ConnectionAdopted:
    return decision.ConnectionAdopted(
        e["opId"],
        e["cls"],
        text_or_empty(e.get("party")),
        e["backend"],
        text_or_empty(e.get("room")),
        e.get("costMs") or 0.0,
    )


def read_first_sign(e: dict[str, Any]) -> decision.ConnectionEstablished:
    return decision.ConnectionEstablished(e["opId"], e["n"], e["backend"], e.get("timeTakenMs") or 0.0)


def read_outcome(e: dict[str, Any]) -> decision.AttemptEnded:
    status = STATUS[e["stateCode"]]
    return decision.AttemptEnded(
        e["opId"], e["n"], e["backend"], status, e["terminal"], checked(e.get("report"))
    )


def read_probed(e: dict[str, Any]) -> decision.HealthCheckCompleted:
    return decision.HealthCheckCompleted(e["backend"], STATUS[e["stateCode"]], checked(e.get("report")))


def read_client_gone(e: dict[str, Any]) -> decision.ClientDisconnected:
    return decision.ClientDisconnected(e["opId"])


def read_timer(e: dict[str, Any]) -> decision.TimerFired:
    return decision.TimerFired(e["mark"])


def read_note(e: dict[str, Any]) -> decision.MeasurementReported:
    kind, value = NOTES.get(e["kind"], ""), e["value"]
    if kind == "load":
        value /= 1000.0  # on the wire in microseconds a second, hints are in milliseconds
    return decision.MeasurementReported(e["opId"], e["n"], e["backend"], kind, value)


READERS: dict[str, Callable[[dict[str, Any]], decision.Event]] = {
    "Inbound": read_request,
    "Started": read_first_sign,
    "Returned": read_outcome,
    "Checked": read_probed,
    "UpdateOf": read_note,
    "Wake": read_timer,
    "Fleet": read_list,
    "Inherited": read_inherited,
    "ClientLeft": read_client_gone,
}


def _send(a: Any) -> dict[str, Any]:
    return {"Relay": {"opId": a.id, "backend": a.endpoint, "patienceMs": a.timeout_ms}}


def _refuse(a: Any) -> dict[str, Any]:
    return {"Reject": {"opId": a.id, "retryAfterMs": a.retry_after_ms}}


WRITERS: dict[type, Callable[[Any], dict[str, Any]]] = {
    decision.PlaceRequest: _send,
    decision.RejectRequest: _refuse,
    decision.FailRequest: lambda a: {"GiveUp": {"opId": a.id}},
    decision.AbandonAttempt: lambda a: {"Abandon": {"opId": a.id, "n": a.attempt}},
    decision.MigrateConnection: lambda a: {"Transfer": {"opId": a.id}},
    decision.SetTimer: lambda a: {"Sleep": {"offsetMs": a.delay_ms, "mark": a.mark}},
    decision.CheckHealth: lambda a: {"Check": {"backend": a.endpoint}},
    decision.WatchEndpoints: lambda a: {"Observe": {"active": True}},
}


class SimulatorLink:
    """The instances of one process; they share nothing but this table."""

    def __init__(self) -> None:
        self.instances: dict[int, Balancer] = {}
        self.asked: dict[int, float] = {}  # by instance: since when its call for the list is unanswered

    def answer(self, line: bytes) -> bytes:
        try:
            batch = orjson.loads(line)
        except orjson.JSONDecodeError as error:
            raise WireError(f"not JSON: {error}") from None
        what = "batch"
        try:
            now_ms = batch["momentMs"]
            groups = []
            for group in batch["groups"]:
                number = group["i"]
                balancer = self.instances.get(number)
                actions: list[dict[str, Any]] = []
                for message in group["events"]:
                    ((what, fields),) = message.items()
                    reader = READERS.get(what)
                    if reader is not None:
                        if balancer is None:
                            raise WireError(f"{what} for instance {number}, which was never enlisted")
                        event = reader(fields)
                        if isinstance(event, decision.EndpointListEvent):
                            self._asked(now_ms, number, event)
                        for action in balancer.handle(now_ms, event):
                            actions.append(WRITERS[type(action)](action))
                            if isinstance(action, decision.WatchEndpoints):
                                self.asked[number] = now_ms
                    elif what == "Enlist":
                        balancer = Balancer(read_settings(fields["conf"]), fields["entropy"])
                        self.instances[number] = balancer
                    elif what == "Teardown":
                        self.instances.pop(number, None)
                        self.asked.pop(number, None)
                        balancer = None
                        actions.clear()
                    elif what not in PASSED_OVER:
                        raise WireError(f"unknown event {what}")
                if actions:
                    groups.append({"i": number, "actions": actions})
        except KeyError as error:
            raise WireError(f"{what}: missing or unknown {error}") from None
        except (TypeError, ValueError, AttributeError) as error:
            raise WireError(f"{what}: {error}") from None
        return orjson.dumps({"groups": groups})

    def _asked(self, now_ms: float, number: int, event: decision.EndpointListEvent) -> None:
        """The wire does not say how a call failed: how long that took does, and what came before."""
        if event.kind == "stale":
            return
        asked_ms = self.asked.pop(number, None)
        if event.kind == "failed":
            event.failure = (
                decision.DiscoveryFailure.LOST if asked_ms is None else classify_rejection(now_ms - asked_ms)
            )


def main() -> int:
    link = SimulatorLink()
    out = sys.stdout.buffer
    try:
        for line in sys.stdin.buffer:
            if line.strip():
                out.write(link.answer(line) + b"\n")
                out.flush()
    except WireError as error:
        print(f"simhost: {error}", file=sys.stderr)
        return 2
    except (BrokenPipeError, KeyboardInterrupt):
        return 1
    return 0


if __name__ == "__main__":
    sys.exit(main())

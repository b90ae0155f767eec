"""Canonical text of the decision module's events and actions.

Only this module of the decision record names the types and fields of the actions. Short codes and the order
of the fields represent them, so that renaming a type or a field changes one line here and no recorded hash.

Numbers are written with 9 significant digits. Smaller differences, as mathematical libraries of other
platforms may cause in the last bits of ``exp`` and ``log``, do not change the text, unless they change the
result of a comparison in the module or of a rounding.
"""

from __future__ import annotations

from typing import Any

from sageturn import decision

SIGNIFICANT_DIGITS = 9

EVENT_CODES: dict[type, str] = {
    decision.EndpointListEvent: "list",
    decision.RequestArrived: "request",
    decision.ConnectionAdopted: "inherited",
    decision.ConnectionEstablished: "first_sign",
    decision.AttemptEnded: "outcome",
    decision.HealthCheckCompleted: "probed",
    decision.ClientDisconnected: "client_gone",
    decision.TimerFired: "timer",
    decision.MeasurementReported: "note",
}

# Code of each type of action, and its fields in the order in which they are written.
ACTION_CODES: dict[type, tuple[str, tuple[str, ...]]] = {
    decision.PlaceRequest: ("send", ("id", "endpoint", "timeout_ms")),
    decision.RejectRequest: ("refuse", ("id", "retry_after_ms")),
    decision.FailRequest: ("fail", ("id",)),
    decision.AbandonAttempt: ("cancel", ("id", "attempt")),
    decision.MigrateConnection: ("move", ("id",)),
    decision.SetTimer: ("set_timer", ("delay_ms", "tag")),
    decision.WatchEndpoints: ("watch", ()),
    decision.CheckHealth: ("probe", ("endpoint",)),
}


def decode_action(action: decision.Action) -> tuple[str, tuple[Any, ...]]:
    """Return the action's code, and its values in their fixed order."""
    code, fields = ACTION_CODES[type(action)]
    return code, tuple(getattr(action, field) for field in fields)


def canonical_value(value: str | float) -> str:
    return repr(value) if isinstance(value, str) else format(value, f".{SIGNIFICANT_DIGITS}g")


def canonical_action(action: decision.Action) -> str:
    code, values = decode_action(action)
    return f"{code}({','.join(map(canonical_value, values))})"


def canonical_step(now_ms: float, event: decision.Event, actions: list[decision.Action]) -> str:
    """Return one line with the time, the kind of event, and all actions in order."""
    action_texts = " ".join(map(canonical_action, actions))
    return f"{canonical_value(now_ms)} {EVENT_CODES[type(event)]} -> {action_texts}\n"

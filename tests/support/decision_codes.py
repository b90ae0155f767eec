"""The canonical text of the decision module's events and actions.

This is the only place of the decision record that names the types and fields of the actions. The short
codes and the order of the fields stand for them, so that renaming a type or a field changes one line here
and no recorded hash.

Tolerance: numbers are written with 9 significant digits. Differences below that, as mathematical libraries
of other platforms may show in the last bits of ``exp`` and ``log``, do not change the text, unless a
comparison in the module turns on them or a value lies right between two roundings.
"""

from __future__ import annotations

from typing import Any

from sageturn import interface as api

SIGNIFICANT_DIGITS = 9

EVENT_CODES: dict[type, str] = {
    api.ServerList: "list",
    api.Request: "request",
    api.Inherited: "inherited",
    api.FirstSign: "first_sign",
    api.Outcome: "outcome",
    api.Probed: "probed",
    api.ClientGone: "client_gone",
    api.Timer: "timer",
    api.Note: "note",
}

# By type of action: its code, and its fields in the order in which they are written.
ACTION_CODES: dict[type, tuple[str, tuple[str, ...]]] = {
    api.Send: ("send", ("id", "server", "timeout_ms")),
    api.Refuse: ("refuse", ("id", "retry_after_ms")),
    api.Fail: ("fail", ("id",)),
    api.Cancel: ("cancel", ("id", "attempt")),
    api.Move: ("move", ("id",)),
    api.SetTimer: ("set_timer", ("delay_ms", "mark")),
    api.Watch: ("watch", ()),
    api.Probe: ("probe", ("server",)),
}


def decode_action(action: api.Action) -> tuple[str, tuple[Any, ...]]:
    """The action's code, and its values in their fixed order."""
    code, fields = ACTION_CODES[type(action)]
    return code, tuple(getattr(action, field) for field in fields)


def canonical_value(value: str | float) -> str:
    return repr(value) if isinstance(value, str) else format(value, f".{SIGNIFICANT_DIGITS}g")


def canonical_action(action: api.Action) -> str:
    code, values = decode_action(action)
    return f"{code}({','.join(map(canonical_value, values))})"


def canonical_step(now_ms: float, event: api.Event, actions: list[api.Action]) -> str:
    """One line: when, what kind of event, and all actions in their order."""
    answers = " ".join(map(canonical_action, actions))
    return f"{canonical_value(now_ms)} {EVENT_CODES[type(event)]} -> {answers}\n"

"""The settings of a deployment that is unlike those in service, and variants of these settings."""

from __future__ import annotations

import copy
from typing import Any

from sageturn.net.json_stream import JsonObject

# Unlike any deployment in service: three zones, two classes, six attempts, load reports also in responses.
FERRY_SETTINGS: JsonObject = {
    "accounts": [{"name": "north", "allowancePerS": 3.0}, {"name": "south", "allowancePerS": 1.5}],
    "classes": [
        {"name": "gate", "aimMs": 200.0, "hardLimitMs": 900.0, "semantics": "safe", "keyTtlMs": 0.0},
        {"name": "deck", "aimMs": 900.0, "hardLimitMs": 1100.0},
    ],
    "discovery": "ask",
    "groupSize": 5,
    "zone": "pier",
    "weightKind": "nominal",
    "familyInfo": {
        "groups": True,
        "messageAimMs": [150.0, 400.0],
        "tenantQuotaConnections": [60.0, 30.0],
        "tellsDelay": True,
    },
    "guarantees": {
        "fallMs": 1500.0,
        "fallMultiple": 3.0,
        "startCapacity": 0.3,
        "warmWithinMs": 12000.0,
        "mustAskInMs": 8000.0,
        "stopSendingWithinMs": 100.0,
    },
    "policyLimits": {
        "sendCap": 6,
        "retryAfter": True,
        "cancel": True,
        "connectTimeoutMs": 150.0,
        "probes": True,
        "keepaliveMs": 5000.0,
        "maxRetryAfterMs": 800.0,
    },
    "prices": {"crossZone": 0.02, "moves": 0.01, "probe": 0.004},
    "report": {"source": "answers", "fields": ["x0", "x1"]},
}


def replace_setting(settings: JsonObject, path: str, value: object) -> JsonObject:
    """Return a copy with ``value`` at ``path``, such as ``classes.0.name``; ``...`` removes the key."""
    settings = copy.deepcopy(settings)
    *parents, last = path.split(".")
    container: Any = settings
    for parent in parents:
        container = container[int(parent)] if isinstance(container, list) else container[parent]
    if value is ...:
        del container[last]
    else:
        container[int(last) if isinstance(container, list) else last] = value
    return settings

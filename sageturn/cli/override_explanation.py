"""Explains which overrides concern an endpoint, and their effect on it."""

from __future__ import annotations

from dataclasses import dataclass

from sageturn.cli.override_output import OverrideSummary, describe_payload, summarize
from sageturn.cli.override_view import OverrideView
from sageturn.decision import Endpoint
from sageturn.overrides.effects import OverrideEffect
from sageturn.overrides.operations import OverridePayload, Selector, SelectorAttribute

NOT_LISTED = "not listed"


@dataclass(frozen=True, slots=True)
class InvolvedOverride:
    """An override that concerns the endpoint; ``suspension_reason`` is empty unless it is suspended."""

    summary: OverrideSummary
    suspension_reason: str


@dataclass(frozen=True, slots=True)
class EndpointExplanation:
    """An endpoint's listed state, the effect of all overrides on it, and these overrides."""

    endpoint: str
    listed_state: str
    effect: OverrideEffect
    overrides: list[InvolvedOverride]

    @property
    def effective_state(self) -> str:
        """The endpoint's state with the overrides applied."""
        return "out of service" if self.effect.out_of_service else self.listed_state

    def to_json(self) -> dict[str, object]:
        """Return the object that ``--json`` prints."""
        return {
            "host": self.endpoint,
            "listed": self.listed_state,
            "state": self.effective_state,
            "factor": self.effect.factor,
            "held": self.effect.rebalance_excluded,
            "cleared": self.effect.migrate_connections,
            "overrides": [
                {**involved.summary.to_json(), "guard": involved.suspension_reason}
                for involved in self.overrides
            ],
        }


def explain_endpoint(view: OverrideView, name: str) -> EndpointExplanation:
    """Resolve the overrides in force, and collect those that concern the endpoint."""
    endpoint = view.endpoints().get(name)
    resolver = view.make_resolver()
    involved = [
        InvolvedOverride(summarize(view, override), resolver.suspended.get(override.id, ""))
        for override in sorted(resolver.overrides.values(), key=lambda override: override.admission_rank)
        if _concerns(override.payload, name, endpoint)
    ]
    listed_state = endpoint.state if endpoint else NOT_LISTED
    return EndpointExplanation(name, listed_state, resolver.effect(name), involved)


def _concerns(payload: OverridePayload, name: str, endpoint: Endpoint | None) -> bool:
    """Return whether an override names or selects an endpoint; ``endpoint`` is None if it is not listed."""
    if name in payload.endpoints or payload.selector == Selector(SelectorAttribute.ENDPOINT, name):
        return True
    return payload.selector is not None and endpoint is not None and payload.selector.matches(endpoint)


def print_explanation(explanation: EndpointExplanation) -> None:
    """Print the explanation as text."""
    effect = explanation.effect
    print(
        f"{explanation.endpoint}: {explanation.effective_state} "
        f"(the list says {explanation.listed_state}), weight {effect.factor:g}"
    )
    if effect.rebalance_excluded:
        print("  held: no rebalancing off or onto it")
    if effect.migrate_connections:
        print("  its standing connections are moved off")
    for involved in explanation.overrides:
        summary = involved.summary
        override = summary.override
        description = describe_payload(override.payload)
        print(f"  {override.id}: {description}; {summary.status}, ends in {summary.remaining}")
        print(f"    by {override.created_by}: {override.reason}")
        if involved.suspension_reason:
            print(f"    suspended by the guard: {involved.suspension_reason}")
    if not explanation.overrides:
        print("  no override touches it")

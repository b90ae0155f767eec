"""Changes that an operator requests: each is checked against the store and written as an operation."""

from __future__ import annotations

from dataclasses import dataclass, replace

from cryptography.hazmat.primitives.asymmetric.ed25519 import Ed25519PrivateKey

from sageturn.cli.connection import DaemonConnection
from sageturn.cli.exit_codes import ExitCode, fail
from sageturn.cli.override_view import OverrideView
from sageturn.cli.override_writes import (
    SubmissionResult,
    check_duration,
    check_form,
    check_safety_limits,
    submit,
)
from sageturn.cli.times import parse_expiry
from sageturn.decision import Endpoint
from sageturn.overrides.operations import (
    OperationType,
    OverrideOperation,
    OverridePayload,
    new_nonce,
    new_override_id,
)
from sageturn.overrides.unix_time import unix_time_ms
from sageturn.store.store import Store


@dataclass(frozen=True, slots=True)
class NewOverride:
    """An override to be set; ``expiry`` is the operator's text, not parsed yet."""

    payload: OverridePayload
    operator: str
    reason: str
    expiry: str
    force_reason: str = ""  # reason for which the safety limits do not apply; empty if they do
    running_endpoint: str = ""  # endpoint to whose present process the override is limited

    def submit(self, connection: DaemonConnection, key: Ed25519PrivateKey) -> SubmissionResult:
        """Check the override against the limits of the relays, and write it."""
        now_ms = unix_time_ms()

        async def check_and_submit(store: Store) -> SubmissionResult:
            view = OverrideView(store, now_ms)
            operation = self._make_operation(view)
            check_form(operation, key)
            check_duration(view, operation)
            check_safety_limits(view, operation)
            return await submit(store, operation, key)

        return connection.run(check_and_submit)

    def _make_operation(self, view: OverrideView) -> OverrideOperation:
        payload = self.payload
        if self.running_endpoint:
            started_at_ms = self._get_listed_endpoint(view).started_at_ms
            payload = replace(payload, process_started_at_ms=started_at_ms)
        reason = self.reason
        if self.force_reason:
            reason = f"{reason} (forced: {self.force_reason})"
        return OverrideOperation(
            override_id=new_override_id(payload.kind),
            type=OperationType.SET,
            revision=1,
            created_at_ms=view.now_ms,
            operator=self.operator,
            reason=reason,
            expires_at_ms=parse_expiry(self.expiry, view.now_ms),
            payload=payload,
            forced=bool(self.force_reason),
            nonce=new_nonce(),
        )

    def _get_listed_endpoint(self, view: OverrideView) -> Endpoint:
        endpoint = view.endpoints().get(self.running_endpoint)
        if endpoint is None:
            fail(
                ExitCode.NOT_FOUND,
                f"{self.running_endpoint}: no relay lists it, so the start time of its process is unknown",
            )
        return endpoint


@dataclass(frozen=True, slots=True)
class OverrideUpdate:
    """An extension or revocation; ``expiry`` is the operator's text, and None for a revocation."""

    override_id: str
    type: OperationType
    operator: str
    reason: str
    expiry: str | None = None

    def submit(self, connection: DaemonConnection, key: Ed25519PrivateKey) -> SubmissionResult:
        """Check that the override can be updated, and write the update."""
        now_ms = unix_time_ms()

        async def check_and_submit(store: Store) -> SubmissionResult:
            override = OverrideView(store, now_ms).get_override(self.override_id)
            if override.is_revoked:
                revoked_by = override.revoked_by
                fail(ExitCode.REFUSED, f"{self.override_id}: was revoked by {revoked_by}, which is permanent")
            operation = self.make_operation(override.revision + 1, now_ms)
            check_form(operation, key)
            return await submit(store, operation, key)

        return connection.run(check_and_submit)

    def make_operation(self, revision: int, now_ms: float) -> OverrideOperation:
        """Return the operation that makes the change. Raise InvalidTimeError for an invalid expiry."""
        return OverrideOperation(
            override_id=self.override_id,
            type=self.type,
            revision=revision,
            created_at_ms=now_ms,
            operator=self.operator,
            reason=self.reason,
            expires_at_ms=0.0 if self.expiry is None else parse_expiry(self.expiry, now_ms),
            nonce=new_nonce(),
        )

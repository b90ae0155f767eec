"""Signs and writes operations: operators' keys, checks before a write, and the relays' answers."""

from __future__ import annotations

import asyncio
import os
from base64 import b64encode
from dataclasses import dataclass, field
from pathlib import Path

from cryptography.hazmat.primitives.asymmetric.ed25519 import Ed25519PrivateKey
from cryptography.hazmat.primitives.serialization import (
    Encoding,
    NoEncryption,
    PrivateFormat,
    PublicFormat,
    load_pem_private_key,
)

from sageturn.cli.exit_codes import ExitCode, fail
from sageturn.cli.override_view import UNKNOWN_STATUS, OverrideView, read_relay_states
from sageturn.cli.times import format_duration
from sageturn.overrides.errors import InvalidOperationError
from sageturn.overrides.model import fold_operations
from sageturn.overrides.operations import OverrideOperation
from sageturn.overrides.signing import parse_operation, sign_operation
from sageturn.store.store import Store

ANSWER_TIMEOUT_S = 5.0  # longest wait for all relays to report the operation
POLL_INTERVAL_S = 0.02
PRIVATE_FILE_MODE = 0o600


# ---------------------------------------------------------------- keys


def load_private_key(file: Path) -> Ed25519PrivateKey:
    """Read an operator's private key; end the command if it cannot be read."""
    try:
        key = load_pem_private_key(file.read_bytes(), password=None)
    except (OSError, ValueError, TypeError) as error:
        fail(ExitCode.USAGE, f"{file}: {error}")
    if not isinstance(key, Ed25519PrivateKey):
        fail(ExitCode.USAGE, f"{file}: not an Ed25519 private key")
    return key


def create_private_key(file: Path) -> str:
    """Write a new private key to a file, which must not exist yet. Return the public key in base64."""
    key = Ed25519PrivateKey.generate()
    pem = key.private_bytes(Encoding.PEM, PrivateFormat.PKCS8, NoEncryption())
    try:
        # The file is created with its mode, so that no other user can ever read it. An existing
        # file is not overwritten.
        descriptor = os.open(file, os.O_WRONLY | os.O_CREAT | os.O_EXCL, PRIVATE_FILE_MODE)
        with os.fdopen(descriptor, "wb") as output:
            output.write(pem)
    except OSError as error:
        fail(ExitCode.USAGE, f"{file}: {error.strerror}")
    return b64encode(key.public_key().public_bytes(Encoding.Raw, PublicFormat.Raw)).decode()


# ---------------------------------------------------------------- checks before writing


def check_form(operation: OverrideOperation, key: Ed25519PrivateKey) -> None:
    """End the command if the relays would reject the operation's record as invalid."""
    try:
        parse_operation(operation.key, sign_operation(operation, key), None)
    except InvalidOperationError as error:
        fail(ExitCode.USAGE, str(error))


def check_duration(view: OverrideView, operation: OverrideOperation) -> None:
    """End the command if any relay would shorten the override."""
    max_duration_ms = view.shortest_max_duration_ms()
    if operation.expires_at_ms - operation.created_at_ms > max_duration_ms:
        fail(ExitCode.REFUSED, f"--for: an override may last at most {format_duration(max_duration_ms)}")


def check_safety_limits(view: OverrideView, operation: OverrideOperation) -> None:
    """End the command if the safety limits would suspend the override."""
    override = fold_operations([operation], float("inf"))
    assert override is not None
    resolver = view.make_resolver()
    resolver.add(override)
    violation = resolver.suspended.get(operation.override_id)
    if violation:
        fail(ExitCode.REFUSED, f"{violation}; --force REASON overrides this")


# ---------------------------------------------------------------- writing


@dataclass
class SubmissionResult:
    """The relays' answers to an operation."""

    operation: OverrideOperation
    status_by_relay: dict[str, str] = field(default_factory=dict)  # keyed by node
    rejection: str | None = None  # the relay that rejects the operation, and its reason; None if none does


async def submit(store: Store, operation: OverrideOperation, key: Ed25519PrivateKey) -> SubmissionResult:
    """Write an operation, and wait until every relay that reports its state has applied it.

    Relays that do not answer in time are missing from the result. An operation that any relay rejects is
    deleted, as it would take effect once the daemons are configured with other operator keys.
    """
    relay_count = len(read_relay_states(store))
    store.put(operation.key, sign_operation(operation, key))
    loop = asyncio.get_running_loop()
    deadline_s = loop.time() + ANSWER_TIMEOUT_S
    result = SubmissionResult(operation)
    while loop.time() < deadline_s and len(result.status_by_relay) < relay_count:
        await asyncio.sleep(POLL_INTERVAL_S)
        _collect_answers(store, result)
        if result.rejection is not None:
            store.put(operation.key, None)
            break
    return result


def _collect_answers(store: Store, result: SubmissionResult) -> None:
    """Add to the result the relays that have applied the operation, or the first that rejects it."""
    operation = result.operation
    for node, state in read_relay_states(store).items():
        reason = state.rejected_records.get(operation.key)
        if reason is not None:
            result.rejection = f"{node} refuses it: {reason}"
            return
        if state.revisions.get(operation.override_id) == operation.revision:
            result.status_by_relay[node] = state.statuses.get(operation.override_id, UNKNOWN_STATUS)

"""``sageturn override``: takes endpoints out of service, and sets weights, pins and holds, until an expiry.

The docstrings of the commands and the ``help`` texts are what operators read in the command's help.
A command has a parameter for each of its options, so some commands have many.
"""

from __future__ import annotations

from pathlib import Path
from typing import Annotated

import typer
from cryptography.hazmat.primitives.asymmetric.ed25519 import Ed25519PrivateKey

from sageturn.cli.connection import DaemonConnection
from sageturn.cli.exit_codes import ExitCode, fail
from sageturn.cli.options import AsJson, Connect, SecretFile
from sageturn.cli.override_explanation import EndpointExplanation, explain_endpoint, print_explanation
from sageturn.cli.override_output import (
    HistoryRow,
    OverrideDetails,
    OverrideSummary,
    collect_details,
    history_rows,
    print_details,
    print_history,
    print_json,
    print_list,
    print_submission,
    summarize,
)
from sageturn.cli.override_requests import NewOverride, OverrideUpdate
from sageturn.cli.override_view import OverrideView
from sageturn.cli.override_writes import create_private_key, load_private_key
from sageturn.overrides.operations import (
    OperationType,
    OverrideKind,
    OverridePayload,
    Selector,
    SelectorAttribute,
)
from sageturn.overrides.status import OverrideStatus
from sageturn.overrides.unix_time import unix_time_ms
from sageturn.store.store import Store

app = typer.Typer(no_args_is_help=True, help="Overrides that operators set, each with an expiry.")

OperatorOption = Annotated[
    str,
    typer.Option("--operator", envvar="SAGETURN_OPERATOR", help="Your name, as configured at the daemons."),
]
KeyFileOption = Annotated[
    Path,
    typer.Option("--key-file", envvar="SAGETURN_KEY_FILE", help="File with your private key (see `key`)."),
]
ExpiryOption = Annotated[
    str,
    typer.Option("--for", "--until", help="Duration from now, such as 2h30m, or a time with a time zone."),
]
ReasonOption = Annotated[str, typer.Option("--why", help="Reason, shown to all operators.")]


# ---------------------------------------------------------------- writing


@app.command("set")
def set_override(  # longer than 40 lines, as it declares 20 options
    kind: Annotated[str, typer.Argument(metavar="KIND", help="out, weight, pin or hold.")],
    reason: ReasonOption,
    expiry: ExpiryOption,
    operator: OperatorOption,
    key_file: KeyFileOption,
    connect: Connect,
    secret_file: SecretFile,
    endpoint: Annotated[str, typer.Option("--host", help="One host.")] = "",
    zone: Annotated[str, typer.Option(help="All hosts of a zone, including those that join it later.")] = "",
    machine_kind: Annotated[str, typer.Option("--kind", help="All hosts of a machine kind.")] = "",
    cell: Annotated[str, typer.Option(help="All hosts of a cell.")] = "",
    factor: Annotated[float, typer.Option(help="weight: factor above 0, up to 4.")] = 0.0,
    move_off: Annotated[
        bool, typer.Option(help="out: also migrate established connections, slowly.")
    ] = False,
    to: Annotated[list[str] | None, typer.Option(help="pin: a host; may be repeated.")] = None,
    strict: Annotated[
        bool, typer.Option(help="pin: use no other hosts, even if none of these is available.")
    ] = False,
    class_name: Annotated[str, typer.Option("--class", help="pin: traffic of this class.")] = "",
    tenant: Annotated[str, typer.Option(help="pin: traffic of this tenant.")] = "",
    group: Annotated[str, typer.Option(help="pin: groups whose names begin with this.")] = "",
    this_start: Annotated[
        bool, typer.Option(help="Only the process that runs now under the name of the host.")
    ] = False,
    force: Annotated[str, typer.Option(help="Reason for setting it although the safety guard refuses.")] = "",
    as_json: AsJson = False,
) -> None:
    """Set an override.

    sageturn override set out --host s-5be2a07c --for 2h30m --why "disk is failing" --move-off
    """
    override_kind = _parse_kind(kind)
    attributes = {
        SelectorAttribute.ENDPOINT: endpoint,
        SelectorAttribute.ZONE: zone,
        SelectorAttribute.KIND: machine_kind,
        SelectorAttribute.CELL: cell,
    }
    selector = _parse_selector(override_kind, attributes, pinned_endpoints=to)
    if this_start and not endpoint:
        fail(ExitCode.USAGE, "--this-start requires --host")
    kind_options: dict[OverrideKind, dict[str, object]] = {
        OverrideKind.WEIGHT: {"--factor": factor},
        OverrideKind.OUT_OF_SERVICE: {"--move-off": move_off},
        OverrideKind.PIN: {"--strict": strict, "--class": class_name, "--tenant": tenant, "--group": group},
    }
    _reject_options_of_other_kinds(override_kind, kind_options)
    key = load_private_key(key_file)
    if override_kind is OverrideKind.WEIGHT and not factor:
        fail(ExitCode.USAGE, "--factor is required for weight")
    payload = OverridePayload(
        override_kind,
        selector,
        migrate_connections=move_off,
        factor=factor or 1.0,
        endpoints=tuple(to or ()),
        strict=strict,
        class_name=class_name,
        tenant=tenant,
        group_prefix=group,
    )
    running_endpoint = endpoint if this_start else ""
    override = NewOverride(payload, operator, reason, expiry, force, running_endpoint)
    _submit(override, key, DaemonConnection(connect, secret_file), as_json)


def _parse_kind(text: str) -> OverrideKind:
    kinds = [kind.value for kind in OverrideKind]
    if text not in kinds:
        fail(ExitCode.USAGE, f"{text}: must be one of {', '.join(kinds)}")
    return OverrideKind(text)


def _reject_options_of_other_kinds(
    kind: OverrideKind, kind_options: dict[OverrideKind, dict[str, object]]
) -> None:
    """End the command if an option is given that this kind does not use, and that would be ignored."""
    for other_kind, options in kind_options.items():
        for name, value in options.items():
            if value and other_kind is not kind:
                fail(ExitCode.USAGE, f"{name} is for {other_kind.value} only")


def _parse_selector(
    kind: OverrideKind, options: dict[SelectorAttribute, str], pinned_endpoints: list[str] | None
) -> Selector | None:
    """Return the selector of the one option that is given; None for a pin, which has ``--to`` instead."""
    given = [Selector(attribute, value) for attribute, value in options.items() if value]
    if kind is OverrideKind.PIN:
        if given or not pinned_endpoints:
            fail(ExitCode.USAGE, "a pin requires its hosts, given with --to")
        return None
    if len(given) != 1:
        fail(ExitCode.USAGE, "exactly one of --host, --zone, --kind and --cell is required")
    return given[0]


@app.command()
def extend(
    override_id: str,
    expiry: ExpiryOption,
    reason: ReasonOption,
    operator: OperatorOption,
    key_file: KeyFileOption,
    connect: Connect,
    secret_file: SecretFile,
    as_json: AsJson = False,
) -> None:
    """Change the expiry of an override to a later or earlier time."""
    extension = OverrideUpdate(override_id, OperationType.EXTEND, operator, reason, expiry)
    _submit(extension, load_private_key(key_file), DaemonConnection(connect, secret_file), as_json)


@app.command()
def revoke(
    override_id: str,
    reason: ReasonOption,
    operator: OperatorOption,
    key_file: KeyFileOption,
    connect: Connect,
    secret_file: SecretFile,
    as_json: AsJson = False,
) -> None:
    """End an override now, permanently."""
    revocation = OverrideUpdate(override_id, OperationType.REVOKE, operator, reason)
    _submit(revocation, load_private_key(key_file), DaemonConnection(connect, secret_file), as_json)


def _submit(
    change: NewOverride | OverrideUpdate, key: Ed25519PrivateKey, daemon: DaemonConnection, as_json: bool
) -> None:
    """Submit the change, and print how the relays have answered."""
    print_submission(change.submit(daemon, key), as_json)


# ---------------------------------------------------------------- reading


@app.command("list")
def list_overrides(
    connect: Connect,
    secret_file: SecretFile,
    as_json: AsJson = False,
    include_ended: Annotated[
        bool, typer.Option("--all", help="Include lapsed and revoked overrides.")
    ] = False,
) -> None:
    """List the overrides that are in force, dormant, suspended or about to end, and who set them."""

    async def read_summaries(store: Store) -> list[OverrideSummary]:
        view = OverrideView(store, unix_time_ms())
        overrides = sorted(view.overrides.values(), key=lambda override: override.expires_at_ms)
        summaries = [summarize(view, override) for override in overrides]
        ended = (OverrideStatus.EXPIRED, OverrideStatus.REVOKED)
        return [summary for summary in summaries if include_ended or summary.status not in ended]

    summaries = DaemonConnection(connect, secret_file).run(read_summaries)
    if as_json:
        print_json([summary.to_json() for summary in summaries])
    else:
        print_list(summaries)


@app.command()
def show(override_id: str, connect: Connect, secret_file: SecretFile, as_json: AsJson = False) -> None:
    """Show all values of an override, and its status at each relay."""

    async def read_details(store: Store) -> OverrideDetails:
        view = OverrideView(store, unix_time_ms())
        return collect_details(view, view.get_override(override_id))

    details = DaemonConnection(connect, secret_file).run(read_details)
    if as_json:
        print_json(details.to_json())
    else:
        print_details(details)


@app.command()
def history(override_id: str, connect: Connect, secret_file: SecretFile, as_json: AsJson = False) -> None:
    """List all operations on an override, by whom and when."""

    async def read_history(store: Store) -> list[HistoryRow]:
        return history_rows(OverrideView(store, unix_time_ms()), override_id)

    rows = DaemonConnection(connect, secret_file).run(read_history)
    if not rows:
        fail(ExitCode.NOT_FOUND, f"{override_id}: there is no such override")
    if as_json:
        print_json([row.to_json() for row in rows])
    else:
        print_history(rows)


@app.command()
def explain(
    endpoint: Annotated[str, typer.Argument(metavar="host")],
    connect: Connect,
    secret_file: SecretFile,
    as_json: AsJson = False,
) -> None:
    """Explain the state of a host by the overrides that concern it."""

    async def read_explanation(store: Store) -> EndpointExplanation:
        return explain_endpoint(OverrideView(store, unix_time_ms()), endpoint)

    explanation = DaemonConnection(connect, secret_file).run(read_explanation)
    if as_json:
        print_json(explanation.to_json())
    else:
        print_explanation(explanation)


# ---------------------------------------------------------------- keys


@app.command("key")
def create_key(file: Annotated[Path, typer.Argument(help="New file for your private key.")]) -> None:
    """Create your private key, and print its public key for the daemons' `overrides.operators`."""
    print(create_private_key(file))

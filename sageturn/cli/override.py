"""``sageturn override``: hosts out of service, weights, pins and holds, each with an expiry."""

from __future__ import annotations

import asyncio
import json
import os
import time
from base64 import b64encode
from dataclasses import dataclass
from pathlib import Path
from typing import Annotated, Any

import typer
from cryptography.hazmat.primitives.asymmetric.ed25519 import Ed25519PrivateKey
from cryptography.hazmat.primitives.serialization import (
    Encoding,
    NoEncryption,
    PrivateFormat,
    PublicFormat,
    load_pem_private_key,
)
from rich.console import Console
from rich.table import Table

from sageturn.cli.link import NOT_THERE, REFUSED, USAGE, AsJson, Connect, Reach, SecretFile, fail
from sageturn.cli.times import instant, parse_until, span
from sageturn.decision import Endpoint
from sageturn.overrides.model import Override, fold
from sageturn.overrides.ops import (
    KINDS,
    PREFIX,
    InvalidOperationError,
    OverrideOperation,
    OverridePayload,
    Selector,
    new_id,
    new_nonce,
    parse_operation,
    sign,
)
from sageturn.overrides.resolve import OverrideResolver, SafetyLimits
from sageturn.store.store import Store

app = typer.Typer(no_args_is_help=True, help="Overrides by operators, each with an expiry.")
SOON_MS = 15 * 60_000.0  # an override that ends within this is shown as about to end
OBEYED_S = 5.0  # how long a command waits for every relay to tell that it has the word

Operator = Annotated[str, typer.Option(envvar="SAGETURN_OPERATOR", help="Your name, as the daemons know it.")]
KeyFile = Annotated[Path, typer.Option(envvar="SAGETURN_KEY_FILE", help="Your private key (see `key`).")]
Until = Annotated[str, typer.Option("--for", "--until", help="2h30m from now, or an instant with a zone.")]
Why = Annotated[str, typer.Option(help="Why; shown to everyone.")]


# ---------------------------------------------------------------- what the store holds


class Seen:
    """All words in the store, and what each relay tells of itself and of its hosts."""

    def __init__(self, store: Store, now_ms: float) -> None:
        self.store, self.now_ms = store, now_ms
        self.ops: dict[str, list[OverrideOperation]] = {}
        for key in store.keys(PREFIX):
            try:
                op = parse_operation(key, store.get(key), None)
            except InvalidOperationError:
                continue  # the relays say that they refuse it
            self.ops.setdefault(op.override, []).append(op)
        self.states: dict[str, dict[str, Any]] = {}
        for key in store.keys("state/"):
            node, _, what = key.removeprefix("state/").partition("/")
            if what == "overrides":
                self.states[node] = store.get(key)
        longest_s = max((s["longest_s"] for s in self.states.values()), default=float("inf"))
        refused = {key for state in self.states.values() for key in state["refused"]}
        self.overrides: dict[str, Override] = {}
        for override_id, ops in self.ops.items():
            found = fold([op for op in ops if op.key not in refused], longest_s * 1000.0)
            if found is not None:
                self.overrides[override_id] = found

    def hosts(self) -> dict[str, Endpoint]:
        found: dict[str, Endpoint] = {}
        for state in self.states.values():
            for name, (zone, kind, cell, listed, share, started_ms) in state.get("hosts", {}).items():
                found[name] = Endpoint(name, listed, zone, cell, started_ms, share, kind)
        return found

    def statuses(self, override: Override) -> dict[str, str]:
        """What each relay says of it."""
        return {node: state["overrides"].get(override.id, "unknown") for node, state in self.states.items()}

    def status(self, override: Override) -> str:
        if override.revoked:
            return "revoked"
        if override.lapsed(self.now_ms):
            return "lapsed"
        said = set(self.statuses(override).values())
        if not said:
            return "no relay tells"
        if len(said) > 1:
            return ", ".join(f"{n}: {s}" for n, s in sorted(self.statuses(override).items()))
        status = said.pop()
        soon = override.until_ms - self.now_ms < SOON_MS
        return "about to end" if status == "in force" and soon else status

    def resolver(self) -> OverrideResolver:
        floors = [SafetyLimits(*state["floors"]) for state in self.states.values()]
        resolver = OverrideResolver(floors[0] if floors else SafetyLimits())
        resolver.listed(self.hosts().values(), True)
        for override in sorted(self.overrides.values(), key=lambda o: o.order):
            if not override.revoked and not override.lapsed(self.now_ms):
                resolver.put(override)
        return resolver

    def need(self, override_id: str) -> Override:
        if override_id not in self.overrides:
            fail(NOT_THERE, f"{override_id}: there is no such override")
        return self.overrides[override_id]


def told(override: Override, status: str, now_ms: float) -> dict[str, Any]:
    return {
        "id": override.id,
        "does": does(override.body),
        "status": status,
        "set_by": override.set_by,
        "set": instant(override.set_ms),
        "until": instant(override.until_ms),
        "until_by": override.until_by,
        "left": span(override.until_ms - now_ms),
        "why": override.why,
        "forced": override.forced,
        "revision": override.revision,
    }


def does(body: OverridePayload) -> str:
    """In a few words."""
    at = f"{body.selector.what} {body.selector.value}" if body.selector else ""
    if body.this_start_ms:
        at += f" (started {instant(body.this_start_ms)} only)"
    if body.kind == "out":
        return f"out of service{', cleared' if body.move_off else ''}: {at}"
    if body.kind == "weight":
        return f"weight {body.factor:g}: {at}"
    if body.kind == "hold":
        return f"hold: {at}"
    names = (("class", body.class_name), ("tenant", body.tenant), ("group", body.group_prefix))
    traffic = " ".join(f"{name} {value}" for name, value in names if value) or "all traffic"
    return f"{'strict' if body.strict else 'preferred'} pin of {traffic} to {', '.join(body.hosts)}"


def now() -> float:
    return time.time() * 1000.0


def show_json(value: Any) -> None:
    print(json.dumps(value, ensure_ascii=False))


def private_key(file: Path) -> Ed25519PrivateKey:
    try:
        key = load_pem_private_key(file.read_bytes(), password=None)
    except (OSError, ValueError, TypeError) as error:
        fail(USAGE, f"{file}: {error}")
    if not isinstance(key, Ed25519PrivateKey):
        fail(USAGE, f"{file}: no Ed25519 key")
    return key


@dataclass
class Said:
    """What the relays made of a word: by node, what each says of the override now, or why it refuses it."""

    op: OverrideOperation
    relays: dict[str, str]
    refused: str = ""


async def say(store: Store, op: OverrideOperation, key: Ed25519PrivateKey) -> Said:
    """Put a word into the store, and wait until every relay that tells of itself has taken it.

    Those that have not answered in time are left out. A word that any of them refuses is taken back, or it
    would take effect on the day on which the daemons are given other keys.
    """
    before = Seen(store, now()).states
    store.put(op.key, sign(op, key))
    loop = asyncio.get_running_loop()
    until_s = loop.time() + OBEYED_S
    said = Said(op, {})
    while loop.time() < until_s and len(said.relays) < len(before):
        await asyncio.sleep(0.02)
        for node, state in Seen(store, now()).states.items():
            if op.key in state["refused"]:
                store.put(op.key, None)
                said.refused = f"{node} refuses it: {state['refused'][op.key]}"
                return said
            if state.get("words", {}).get(op.override) == op.revision:
                said.relays[node] = state["overrides"].get(op.override, "unknown")
    return said


def answer(said: Said, as_json: bool) -> None:
    if said.refused:
        fail(REFUSED, said.refused)
    if as_json:
        show_json({"id": said.op.override, "revision": said.op.revision, "relays": said.relays})
        return
    print(said.op.override)
    for node, status in sorted(said.relays.items()):
        print(f"  {node}: {status}")


# ---------------------------------------------------------------- commands


@app.command("set")
def set_(
    does_what: Annotated[str, typer.Argument(metavar="KIND", help="out, weight, pin or hold.")],
    why: Why,
    until: Until,
    operator: Operator,
    key_file: KeyFile,
    connect: Connect,
    secret_file: SecretFile,
    host: Annotated[str, typer.Option(help="The host meant.")] = "",
    zone: Annotated[str, typer.Option(help="All hosts of a zone, also those that join it later.")] = "",
    kind: Annotated[str, typer.Option(help="All hosts of a kind of machine.")] = "",
    cell: Annotated[str, typer.Option(help="All hosts of a cell.")] = "",
    factor: Annotated[float, typer.Option(help="weight: above 0, up to 4.")] = 0.0,
    move_off: Annotated[bool, typer.Option(help="out: move standing connections too, slowly.")] = False,
    to: Annotated[list[str] | None, typer.Option(help="pin: a host; may be given again.")] = None,
    strict: Annotated[bool, typer.Option(help="pin: nowhere else, whatever happens.")] = False,
    cls: Annotated[str, typer.Option("--class", help="pin: traffic of this class.")] = "",
    tenant: Annotated[str, typer.Option(help="pin: traffic of this tenant.")] = "",
    group: Annotated[str, typer.Option(help="pin: groups that begin so.")] = "",
    this_start: Annotated[bool, typer.Option(help="Only the process of that name that runs now.")] = False,
    force: Annotated[str, typer.Option(help="Set it though the guard refuses; say why.")] = "",
    as_json: AsJson = False,
) -> None:
    """Set an override.

    sageturn override set out --host s-5be2a07c --for 2h30m --why "disk is failing" --move-off
    """
    named = [(w, v) for w, v in (("host", host), ("zone", zone), ("kind", kind), ("cell", cell)) if v]
    if does_what not in KINDS:
        fail(USAGE, f"{does_what}: must be one of {', '.join(KINDS)}")
    if does_what == "pin" and (named or not to):
        fail(USAGE, "a pin names its hosts with --to")
    if does_what != "pin" and len(named) != 1:
        fail(USAGE, "one of --host, --zone, --kind and --cell is needed")
    if this_start and not host:
        fail(USAGE, "--this-start needs --host")
    key, at_ms = private_key(key_file), now()

    async def go(store: Store) -> Said:
        seen = Seen(store, at_ms)
        start_ms = 0.0
        if this_start:
            known = seen.hosts().get(host)
            if known is None:
                fail(NOT_THERE, f"{host}: no relay lists it, so its start is not known")
            start_ms = known.started_at_ms
        op = OverrideOperation(
            new_id(does_what),
            "set",
            1,
            at_ms,
            operator,
            f"{why} (forced: {force})" if force else why,
            parse_until(until, at_ms),
            OverridePayload(
                does_what,
                Selector(*named[0]) if named else None,
                move_off,
                factor or 1.0,
                tuple(to or ()),
                strict,
                cls,
                tenant,
                group,
                start_ms,
            ),
            bool(force),
            new_nonce(),
        )
        check(op, key)
        longest_s = min((s["longest_s"] for s in seen.states.values()), default=float("inf"))
        if op.until_ms - at_ms > longest_s * 1000.0:
            fail(REFUSED, f"--for: no override lasts longer than {span(longest_s * 1000.0)}")
        guard(seen, op)
        return await say(store, op, key)

    if does_what == "weight" and not factor:
        fail(USAGE, "--factor is needed")
    answer(Reach(connect, secret_file).act(go), as_json)


def check(op: OverrideOperation, key: Ed25519PrivateKey) -> None:
    """The same reading as the relays'."""
    try:
        parse_operation(op.key, sign(op, key), None)
    except InvalidOperationError as error:
        fail(USAGE, str(error))


def guard(seen: Seen, op: OverrideOperation) -> None:
    override = fold([op], float("inf"))
    assert override is not None
    resolver = seen.resolver()
    resolver.put(override)
    refused = resolver.suspended.get(op.override)
    if refused:
        fail(REFUSED, f"{refused}; --force REASON sets it all the same")


@app.command()
def extend(
    override_id: str,
    until: Until,
    why: Why,
    operator: Operator,
    key_file: KeyFile,
    connect: Connect,
    secret_file: SecretFile,
    as_json: AsJson = False,
) -> None:
    """Give an override another end, later or sooner."""
    _say_of(override_id, "extend", why, until, operator, key_file, Reach(connect, secret_file), as_json)


@app.command()
def revoke(
    override_id: str,
    why: Why,
    operator: Operator,
    key_file: KeyFile,
    connect: Connect,
    secret_file: SecretFile,
    as_json: AsJson = False,
) -> None:
    """End an override now, for good."""
    _say_of(override_id, "revoke", why, "", operator, key_file, Reach(connect, secret_file), as_json)


def _say_of(
    override_id: str,
    word: str,
    why: str,
    until: str,
    operator: str,
    key_file: Path,
    reach: Reach,
    as_json: bool,
) -> None:
    key, at_ms = private_key(key_file), now()

    async def go(store: Store) -> Said:
        known = Seen(store, at_ms).need(override_id)
        if known.revoked:
            fail(REFUSED, f"{override_id}: was revoked by {known.revoked_by}, and stays so")
        until_ms = parse_until(until, at_ms) if until else 0.0
        op = OverrideOperation(
            override_id, word, known.revision + 1, at_ms, operator, why, until_ms, nonce=new_nonce()
        )
        check(op, key)
        return await say(store, op, key)

    answer(reach.act(go), as_json)


@app.command("list")
def list_(
    connect: Connect,
    secret_file: SecretFile,
    as_json: AsJson = False,
    all_: Annotated[bool, typer.Option("--all", help="Lapsed and revoked ones too.")] = False,
) -> None:
    """What is in force, dormant, suspended or about to end, and by whom."""

    async def go(store: Store) -> list[dict[str, Any]]:
        seen = Seen(store, now())
        shown = sorted(seen.overrides.values(), key=lambda o: o.until_ms)
        over = ("lapsed", "revoked")
        rows = [told(o, seen.status(o), seen.now_ms) for o in shown]
        return [row for row in rows if all_ or row["status"] not in over]

    rows = Reach(connect, secret_file).act(go)
    if as_json:
        show_json(rows)
        return
    table = Table("id", "does", "status", "ends in", "until", "by", "why", box=None)
    for row in rows:
        status = row["status"] + (" (forced)" if row["forced"] else "")
        table.add_row(row["id"], row["does"], status, row["left"], row["until"], row["set_by"], row["why"])
    Console(width=None if os.isatty(1) else 200).print(table)


@app.command()
def show(override_id: str, connect: Connect, secret_file: SecretFile, as_json: AsJson = False) -> None:
    """One override whole, and what each relay says of it."""

    async def go(store: Store) -> dict[str, Any]:
        seen = Seen(store, now())
        override = seen.need(override_id)
        suspended = {
            node: state["suspended"][override_id]
            for node, state in seen.states.items()
            if override_id in state["suspended"]
        }
        found = told(override, seen.status(override), seen.now_ms)
        return {**found, "relays": seen.statuses(override), "suspended": suspended}

    found = Reach(connect, secret_file).act(go)
    if as_json:
        show_json(found)
        return
    for name, value in found.items():
        print(f"{name:10} {value}")


@app.command()
def history(override_id: str, connect: Connect, secret_file: SecretFile, as_json: AsJson = False) -> None:
    """Every word said of an override, by whom and when."""

    async def go(store: Store) -> list[dict[str, Any]]:
        seen = Seen(store, now())
        refused = {k: why for s in seen.states.values() for k, why in s["refused"].items()}
        words = sorted(seen.ops.get(override_id, []), key=lambda op: op.order)
        rows = [
            {
                "revision": op.revision,
                "word": op.word,
                "at": instant(op.at_ms),
                "operator": op.operator,
                "until": instant(op.until_ms) if op.until_ms else "",
                "why": op.why,
                "refused": refused.get(op.key, ""),
            }
            for op in words
        ]
        override = seen.overrides.get(override_id)
        if override is not None and not override.revoked and override.lapsed(seen.now_ms):
            lapsed = {"revision": override.revision, "word": "lapse", "at": instant(override.until_ms)}
            rows.append({**dict.fromkeys(rows[0], ""), **lapsed})
        return rows

    rows = Reach(connect, secret_file).act(go)
    if not rows:
        fail(NOT_THERE, f"{override_id}: there is no such override")
    if as_json:
        show_json(rows)
        return
    table = Table(*rows[0], box=None)
    for row in rows:
        table.add_row(*(str(value) for value in row.values()))
    Console(width=None if os.isatty(1) else 200).print(table)


@app.command()
def explain(host: str, connect: Connect, secret_file: SecretFile, as_json: AsJson = False) -> None:
    """Why a host is treated as it is."""

    async def go(store: Store) -> dict[str, Any]:
        seen = Seen(store, now())
        endpoint = seen.hosts().get(host)
        resolver = seen.resolver()
        touching = []
        for override in sorted(resolver.overrides.values(), key=lambda o: o.order):
            selector = override.body.selector
            about = host in override.body.hosts or selector == Selector("host", host)
            if about or (selector and endpoint and selector.covers(endpoint)):
                row = told(override, seen.status(override), seen.now_ms)
                touching.append({**row, "guard": resolver.suspended.get(override.id, "")})
        effect = resolver.effect(host)
        return {
            "host": host,
            "listed": endpoint.state if endpoint else "not listed",
            "state": "out of service" if effect.out else endpoint.state if endpoint else "not listed",
            "factor": effect.factor,
            "held": effect.hold,
            "cleared": effect.move_off,
            "overrides": touching,
        }

    found = Reach(connect, secret_file).act(go)
    if as_json:
        show_json(found)
        return
    print(f"{host}: {found['state']} (the list says {found['listed']}), weight {found['factor']:g}")
    if found["held"]:
        print("  held: no rebalancing off or onto it")
    if found["cleared"]:
        print("  its standing connections are moved off")
    for row in found["overrides"]:
        print(f"  {row['id']}: {row['does']}; {row['status']}, ends in {row['left']}")
        print(f"    by {row['set_by']}: {row['why']}")
        if row["guard"]:
            print(f"    suspended by the guard: {row['guard']}")
    if not found["overrides"]:
        print("  no override touches it")


@app.command()
def key(file: Annotated[Path, typer.Argument(help="Where your private key goes.")]) -> None:
    """Make a key of your own; prints the public one, for the daemons' `overrides.operators`."""
    made = Ed25519PrivateKey.generate()
    pem = made.private_bytes(Encoding.PEM, PrivateFormat.PKCS8, NoEncryption())
    try:
        # Nobody else may read it, not even for a moment; and one that is there is not overwritten.
        with os.fdopen(os.open(file, os.O_WRONLY | os.O_CREAT | os.O_EXCL, 0o600), "wb") as out:
            out.write(pem)
    except OSError as error:
        fail(USAGE, f"{file}: {error.strerror}")
    print(b64encode(made.public_key().public_bytes(Encoding.Raw, PublicFormat.Raw)).decode())

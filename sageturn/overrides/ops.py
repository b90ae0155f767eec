"""What an operator says: one signed record for each word, and no record is ever changed.

An override is the sum of the words said of it (set, extend, revoke), each under a key of its own in the
store. Whatever order they come in, and on whichever side of a split they were said, every relay ends with the
same set of them, and so with the same override: nothing that was said can be lost to another word.
"""

from __future__ import annotations

import json
import re
import secrets
from base64 import b64decode, b64encode
from binascii import Error as Base64Error
from collections.abc import Mapping
from dataclasses import dataclass
from typing import Any

from cryptography.exceptions import InvalidSignature
from cryptography.hazmat.primitives.asymmetric.ed25519 import Ed25519PrivateKey, Ed25519PublicKey

from sageturn.decision import Endpoint

PREFIX = "overrides/"
KINDS = ("out", "weight", "pin", "hold")
WORDS = ("set", "extend", "revoke")
FACTOR_MOST = 4.0
TEXT_MOST = 500
NAMES_MOST = 256
INSTANT_MOST = 4e12  # milliseconds: the year 2096; nothing that lies beyond is meant
REVISION_MOST = 999_999
_ID = re.compile(r"[a-z0-9][a-z0-9-]{0,39}")
_NAME = re.compile(r"[A-Za-z0-9][A-Za-z0-9_.@-]{0,63}")


class InvalidOperationError(ValueError):
    """No word of an operator's; the text names the field, or says why it is refused."""


@dataclass(frozen=True, slots=True)
class Selector:
    """Exactly one of these says which hosts are meant; those that join later are meant too."""

    what: str  # host, zone, kind or cell
    value: str

    def covers(self, endpoint: Endpoint) -> bool:
        return self.value == value_of(endpoint, self.what)


SELECTORS = ("host", "zone", "kind", "cell")


def value_of(endpoint: Endpoint, what: str) -> str:
    """A host's name, zone, kind or cell, as a selector writes it."""
    if what == "host":
        return endpoint.name
    return {"zone": endpoint.zone, "kind": endpoint.kind}[what] if what != "cell" else str(endpoint.cell)


@dataclass(frozen=True, slots=True)
class OverridePayload:
    """What an override does. Fields that its kind does not have are empty."""

    kind: str
    selector: Selector | None = None  # all kinds but a pin
    move_off: bool = False  # out: standing connections too
    factor: float = 1.0  # weight
    hosts: tuple[str, ...] = ()  # pin: where its traffic goes
    strict: bool = False  # pin: nowhere else, even if none of them can take it
    class_name: str = ""  # pin: whose traffic; empty: of all
    tenant: str = ""
    group_prefix: str = ""
    this_start_ms: float = 0.0  # only the process that started then; 0: whatever has the name


@dataclass(frozen=True, slots=True)
class OverrideOperation:
    """One word. ``key`` is where it stands in the store; the signature is the named operator's."""

    override: str
    word: str
    revision: int
    at_ms: float
    operator: str
    why: str
    until_ms: float = 0.0  # set and extend
    body: OverridePayload | None = None  # set
    forced: bool = False
    nonce: str = ""

    @property
    def key(self) -> str:
        return f"{PREFIX}{self.override}/{self.revision:06d}-{self.operator}-{self.nonce}"

    @property
    def order(self) -> tuple[int, float, str]:
        """Later words of one override come later, whoever said them; the key settles what is left."""
        return self.revision, self.at_ms, self.key


def new_id(kind: str) -> str:
    return f"{kind}-{secrets.token_hex(4)}"


def new_nonce() -> str:
    return secrets.token_hex(4)


# ---------------------------------------------------------------- to and from the store


def _plain(op: OverrideOperation) -> dict[str, Any]:
    found: dict[str, Any] = {
        "override": op.override,
        "word": op.word,
        "revision": op.revision,
        "at_ms": op.at_ms,
        "operator": op.operator,
        "why": op.why,
        "nonce": op.nonce,
    }
    if op.word != "revoke":
        found["until_ms"] = op.until_ms
    if op.forced:
        found["forced"] = True
    if op.body is not None:
        body = op.body
        told: dict[str, Any] = {"does": body.kind}  # a machine has a kind too
        if body.selector is not None:
            told[body.selector.what] = body.selector.value
        for name, value in (
            ("move_off", body.move_off),
            ("hosts", list(body.hosts)),
            ("strict", body.strict),
            ("class", body.class_name),
            ("tenant", body.tenant),
            ("group_prefix", body.group_prefix),
            ("this_start_ms", body.this_start_ms),
        ):
            if value:
                told[name] = value
        if body.kind == "weight":
            told["factor"] = body.factor
        found["body"] = told
    return found


def _bytes_to_sign(plain: Mapping[str, Any]) -> bytes:
    return json.dumps(plain, sort_keys=True, separators=(",", ":"), allow_nan=False).encode()


def sign(op: OverrideOperation, key: Ed25519PrivateKey) -> dict[str, Any]:
    """The value to be put under ``op.key``."""
    plain = _plain(op)
    return {**plain, "signature": b64encode(key.sign(_bytes_to_sign(plain))).decode()}


def read_public(text: str) -> Ed25519PublicKey:
    """From 32 octets in base64 (RFC 8032, section 5.1.5). Raises ValueError."""
    try:
        return Ed25519PublicKey.from_public_bytes(b64decode(text, validate=True))
    except Base64Error as error:
        raise ValueError(str(error)) from None


def parse_operation(
    key: str, value: Any, operators: Mapping[str, Ed25519PublicKey] | None
) -> OverrideOperation:
    """Raises InvalidOperationError. Nothing in it is believed before the signature of its operator has held.

    ``operators`` None: only its form is looked at, as a command does that shows what relays have checked.
    """
    if not isinstance(value, dict):
        raise InvalidOperationError("not an object")
    plain = {k: v for k, v in value.items() if k != "signature"}
    op = _read(plain)
    if op.key != key:
        raise InvalidOperationError(f"stands under {key}, and belongs under {op.key}")
    if _plain(op) != plain:
        raise InvalidOperationError("holds what no word of its kind does")
    if operators is None:
        return op
    public = operators.get(op.operator)
    if public is None:
        raise InvalidOperationError(f"operator: {op.operator} is not known here")
    try:
        public.verify(b64decode(str(value.get("signature")), validate=True), _bytes_to_sign(plain))
    except (InvalidSignature, Base64Error, ValueError):
        raise InvalidOperationError(f"signature: not {op.operator}'s") from None
    return op


class _Fields:
    def __init__(self, values: Any, where: str) -> None:
        if not isinstance(values, dict):
            raise InvalidOperationError(f"{where or 'op'}: not an object")
        self._values, self._where = values, where

    def text(self, name: str, pattern: re.Pattern[str] | None = None, default: str | None = None) -> str:
        value = self._values.get(name, default)
        if not isinstance(value, str) or len(value) > TEXT_MOST or (pattern and not pattern.fullmatch(value)):
            raise InvalidOperationError(f"{self._where}{name}")
        return value

    def number(self, name: str, least: float, most: float, default: float | None = None) -> float:
        value = self._values.get(name, default)
        if not isinstance(value, (int, float)) or isinstance(value, bool) or not least <= value <= most:
            raise InvalidOperationError(f"{self._where}{name}")
        return value

    def flag(self, name: str) -> bool:
        value = self._values.get(name, False)
        if not isinstance(value, bool):
            raise InvalidOperationError(f"{self._where}{name}")
        return value

    def get(self, name: str) -> Any:
        return self._values.get(name)


def _read(plain: dict[str, Any]) -> OverrideOperation:
    fields = _Fields(plain, "")
    word = fields.text("word")
    if word not in WORDS:
        raise InvalidOperationError("word")
    revision = fields.number("revision", 1, REVISION_MOST)
    if not isinstance(revision, int):
        raise InvalidOperationError("revision")
    why = fields.text("why")
    if not why.strip():
        raise InvalidOperationError("why: must say something")
    return OverrideOperation(
        override=fields.text("override", _ID),
        word=word,
        revision=revision,
        at_ms=fields.number("at_ms", 0, INSTANT_MOST),
        operator=fields.text("operator", _NAME),
        why=why,
        until_ms=fields.number("until_ms", 1, INSTANT_MOST) if word != "revoke" else 0.0,
        body=_read_body(plain.get("body")) if word == "set" else None,
        forced=fields.flag("forced"),
        nonce=fields.text("nonce", re.compile(r"[0-9a-f]{8}")),
    )


def _read_body(value: Any) -> OverridePayload:
    fields = _Fields(value, "body.")
    kind = fields.text("does")
    if kind not in KINDS:
        raise InvalidOperationError("body.does")
    named = [what for what in SELECTORS if fields.get(what) is not None]
    this_start_ms = fields.number("this_start_ms", 0, INSTANT_MOST, 0.0)
    if kind == "pin":
        hosts = fields.get("hosts")
        if not isinstance(hosts, list) or not 0 < len(hosts) <= NAMES_MOST:
            raise InvalidOperationError("body.hosts")
        if not all(isinstance(host, str) and 0 < len(host) <= TEXT_MOST for host in hosts):
            raise InvalidOperationError("body.hosts")
        if named:
            raise InvalidOperationError(f"body.{named[0]}: a pin names its hosts")
        return OverridePayload(
            kind,
            hosts=tuple(hosts),
            strict=fields.flag("strict"),
            class_name=fields.text("class", default=""),
            tenant=fields.text("tenant", default=""),
            group_prefix=fields.text("group_prefix", default=""),
        )
    if len(named) != 1:
        raise InvalidOperationError("body: one of host, zone, kind and cell must be named")
    selector = Selector(named[0], fields.text(named[0]))
    if this_start_ms and selector.what != "host":
        raise InvalidOperationError("body.this_start_ms: needs a host")
    factor = fields.number("factor", 0, FACTOR_MOST) if kind == "weight" else 1.0
    if not factor > 0:
        raise InvalidOperationError("body.factor: must be above 0")
    return OverridePayload(
        kind,
        selector,
        move_off=kind == "out" and fields.flag("move_off"),
        factor=factor,
        this_start_ms=this_start_ms,
    )

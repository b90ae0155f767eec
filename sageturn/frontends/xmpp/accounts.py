"""Who may connect: salted credentials and the place in the settings, kept in the store."""

from __future__ import annotations

import hmac
from collections.abc import Callable
from dataclasses import dataclass
from typing import Any, Protocol

from scramp import ScramMechanism  # type: ignore[import-untyped]

ITERATIONS = 16384
MECHANISM = "SCRAM-SHA-256"
PREFIX = "config/accounts/"


class Reader(Protocol):
    def get(self, key: str) -> Any: ...


@dataclass(frozen=True, slots=True)
class Account:
    name: str
    class_name: str
    tenant: str
    group: str
    credentials: tuple[bytes, bytes, bytes, int]  # salt, stored key, server key, iterations


def make_record(
    password: str, class_name: str, tenant: str, group: str = "", iterations: int = ITERATIONS
) -> dict[str, Any]:
    """What the store keeps: the password itself cannot be had back from it."""
    made = ScramMechanism(MECHANISM).make_auth_info(password, iteration_count=iterations)
    salt, stored, endpoint, count = made
    return {
        "class": class_name,
        "tenant": tenant,
        "group": group,
        "salt": salt.hex(),
        "stored_key": stored.hex(),
        "server_key": endpoint.hex(),
        "iterations": count,
    }


class Accounts:
    def __init__(self, store: Reader) -> None:
        self._store = store

    def find(self, name: str) -> Account | None:
        record = self._store.get(PREFIX + name)
        if not isinstance(record, dict):
            return None
        keys = tuple(bytes.fromhex(record[k]) for k in ("salt", "stored_key", "server_key"))
        return Account(
            name,
            record["class"],
            record["tenant"],
            record.get("group", ""),
            (keys[0], keys[1], keys[2], int(record["iterations"])),
        )

    def check_plain(self, name: str, password: str) -> Account | None:
        account = self.find(name)
        if account is None:
            return None
        salt, stored, _, count = account.credentials
        _, again, _, _ = ScramMechanism(MECHANISM).make_auth_info(password, iteration_count=count, salt=salt)
        return account if hmac.compare_digest(again, stored) else None

    def scram_lookup(self) -> Callable[[str], tuple[bytes, bytes, bytes, int]]:
        def look_up(name: str) -> tuple[bytes, bytes, bytes, int]:
            account = self.find(name)
            if account is None:
                raise KeyError(name)
            return account.credentials

        return look_up

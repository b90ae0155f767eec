"""Client accounts in the store: salted credentials, and the class, tenant and group of requests."""

from __future__ import annotations

import hmac
import logging
from dataclasses import dataclass
from typing import NamedTuple, Protocol

from scramp import ScramException, ScramMechanism  # type: ignore[import-untyped]

from sageturn.net.json_stream import JsonObject

log = logging.getLogger(__name__)

DEFAULT_SCRAM_ITERATIONS = 16384
SCRAM_MECHANISM = "SCRAM-SHA-256"
ACCOUNT_KEY_PREFIX = "config/accounts/"  # prefix of the store's keys of accounts


class RecordReader(Protocol):
    """Interface of the store for reading records."""

    def get(self, key: str) -> JsonObject | None:
        """Return the value of ``key``; None if there is none."""


class Credentials(NamedTuple):
    """Data that SCRAM stores in place of a password, in the order that the SCRAM library expects."""

    salt: bytes
    stored_key: bytes
    server_key: bytes
    iterations: int


@dataclass(frozen=True, slots=True)
class Account:
    """Account, with the class, tenant and group of the requests of clients that log in with it."""

    name: str
    class_name: str
    tenant: str
    group: str
    credentials: Credentials


def make_account_record(
    password: str, class_name: str, tenant: str, group: str = "", iterations: int = DEFAULT_SCRAM_ITERATIONS
) -> JsonObject:
    """Return an account's record for the store; the password cannot be recovered from it."""
    auth_info = ScramMechanism(SCRAM_MECHANISM).make_auth_info(password, iteration_count=iterations)
    credentials = Credentials(*auth_info)
    return {
        "class": class_name,
        "tenant": tenant,
        "group": group,
        "salt": credentials.salt.hex(),
        "stored_key": credentials.stored_key.hex(),
        "server_key": credentials.server_key.hex(),
        "iterations": credentials.iterations,
    }


def _decode_account(name: str, record: JsonObject) -> Account:
    """Decode an account's record; raise KeyError, TypeError or ValueError if it is damaged."""
    credentials = Credentials(
        salt=bytes.fromhex(record["salt"]),
        stored_key=bytes.fromhex(record["stored_key"]),
        server_key=bytes.fromhex(record["server_key"]),
        iterations=int(record["iterations"]),
    )
    texts = (record["class"], record["tenant"], record.get("group", ""))
    if not all(isinstance(text, str) for text in texts):
        raise TypeError(f"class, tenant and group must be strings, but are {texts!r}")
    return Account(name, *texts, credentials)


class Accounts:
    """Reader of the accounts in the store. Nothing is cached: each call reads the store."""

    def __init__(self, store: RecordReader) -> None:
        self._store = store

    def find(self, name: str) -> Account | None:
        """Return the account of this name; None if there is none, or its record is damaged."""
        record = self._store.get(ACCOUNT_KEY_PREFIX + name)
        if record is None:
            return None
        try:
            return _decode_account(name, record)
        except (KeyError, TypeError, ValueError) as error:
            log.error("account record unusable name=%s reason=%r", name, error)
            return None

    def check_password(self, name: str, password: str) -> Account | None:
        """Return the account if the password is right, else None.

        The hash blocks for long, so this must be called from a worker thread.
        """
        account = self.find(name)
        if account is None:
            return None
        credentials = account.credentials
        try:
            auth_info = ScramMechanism(SCRAM_MECHANISM).make_auth_info(
                password, iteration_count=credentials.iterations, salt=credentials.salt
            )
        except ScramException:
            return None  # SCRAM allows no such password, so no account has it
        stored_key = Credentials(*auth_info).stored_key
        return account if hmac.compare_digest(stored_key, credentials.stored_key) else None

    def get_credentials(self, name: str) -> Credentials:
        """Return an account's credentials for the SCRAM library; raise KeyError if there is none."""
        account = self.find(name)
        if account is None:
            raise KeyError(name)
        return account.credentials

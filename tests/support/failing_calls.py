"""Replaces a system call by one that fails temporarily and then works again."""

from __future__ import annotations

import os
from collections.abc import Iterable, Iterator
from typing import Any

import pytest


class FailingCall:
    """Replacement of a method or function that raises each of ``errors`` once, in turn, and then works again.

    ``errors`` are ``errno`` numbers; the iterable may be infinite, e.g. ``itertools.repeat(errno.EIO)``.
    """

    def __init__(self, owner: Any, name: str, errors: Iterable[int]) -> None:
        self._owner = owner
        self._name = name
        self._errors: Iterator[int] = iter(errors)
        self._next_error = next(self._errors, None)
        self.failures = 0

    @property
    def is_failing(self) -> bool:
        """True if any of the errors has not been raised yet."""
        return self._next_error is not None

    def install(self, monkeypatch: pytest.MonkeyPatch) -> None:
        """Replace the call until ``monkeypatch`` is undone."""
        real_call = getattr(self._owner, self._name)

        def fail_or_call(*arguments: Any, **named: Any) -> Any:
            self._raise_next_error()
            return real_call(*arguments, **named)

        monkeypatch.setattr(self._owner, self._name, fail_or_call)

    def _raise_next_error(self) -> None:
        number = self._next_error
        if number is not None:
            self._next_error = next(self._errors, None)
            self.failures += 1
            raise OSError(number, os.strerror(number))

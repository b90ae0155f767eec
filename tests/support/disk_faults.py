"""Simulates temporary disk faults: a disk that is full in the middle of a write, or that cannot sync."""

from __future__ import annotations

import errno
import os
import resource
from collections.abc import Iterator
from contextlib import contextmanager
from pathlib import Path

import pytest


@contextmanager
def limit_file_growth(path: Path, extra_bytes: int) -> Iterator[None]:
    """Limit the files of this process to ``extra_bytes`` beyond the present size of ``path``.

    The kernel itself shortens the write, and fails the next one, with EFBIG instead of ENOSPC.
    """
    limits = resource.getrlimit(resource.RLIMIT_FSIZE)
    resource.setrlimit(resource.RLIMIT_FSIZE, (path.stat().st_size + extra_bytes, limits[1]))
    try:
        yield
    finally:
        resource.setrlimit(resource.RLIMIT_FSIZE, limits)


@contextmanager
def fail_syncs(monkeypatch: pytest.MonkeyPatch) -> Iterator[None]:
    """Make every ``fsync`` fail with EIO; data that was written before it is in the file nevertheless."""

    def fail(descriptor: int) -> None:
        raise OSError(errno.EIO, os.strerror(errno.EIO))

    with monkeypatch.context() as patched:
        patched.setattr(os, "fsync", fail)
        yield

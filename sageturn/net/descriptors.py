"""Limits the process's file descriptors, and reserves some for calls that must not fail for lack of one."""

from __future__ import annotations

import errno
import os
import resource
from collections.abc import Iterator
from contextlib import contextmanager

# Errors of system calls that get no descriptor, or no memory for one.
OUT_OF_DESCRIPTORS_ERRNOS = (errno.EMFILE, errno.ENFILE, errno.ENOBUFS, errno.ENOMEM)
RESERVED_DESCRIPTORS = 4  # the watch, its replacement, a link between replicas, the configuration file


class DescriptorReserve:
    """Descriptors that are open on ``/dev/null``, and are released for calls that must not fail.

    Clients may keep all other descriptors in use for any length of time. Without the reserve the watch of the
    endpoint list would get none, and the relay would keep a stale list.
    """

    def __init__(self) -> None:
        self._descriptors: list[int] = []
        self._size = 0

    def resize(self, size: int) -> None:
        """Reserve ``size`` descriptors; the reserve has fewer while the process cannot open more."""
        self._size = size
        while len(self._descriptors) > size:
            os.close(self._descriptors.pop())
        self.refill()

    def refill(self) -> bool:
        """Open descriptors in place of the released ones; return False if the reserve is not full then.

        Called before a descriptor is used for a client.
        """
        while len(self._descriptors) < self._size:
            try:
                self._descriptors.append(os.open(os.devnull, os.O_RDONLY))
            except OSError:
                return False
        return True

    def release_one(self) -> bool:
        """Free one descriptor for use before the next await; return False if the reserve is empty."""
        if not self._descriptors:
            return False
        os.close(self._descriptors.pop())
        return True

    @contextmanager
    def borrow(self) -> Iterator[None]:
        """Free one descriptor for a file that is opened and closed in this context without an await."""
        self.release_one()
        try:
            yield
        finally:
            self.refill()


DESCRIPTOR_RESERVE = DescriptorReserve()  # shared by the whole process, like its descriptor table


def set_descriptor_limit(max_descriptors: int) -> None:
    """Set the soft limit to ``max_descriptors`` if the hard limit allows it, and fill the reserve.

    At the limit, a call that needs a descriptor fails with an error, which the listener handles.
    """
    _, hard_limit = resource.getrlimit(resource.RLIMIT_NOFILE)
    if hard_limit == resource.RLIM_INFINITY or hard_limit >= max_descriptors:
        resource.setrlimit(resource.RLIMIT_NOFILE, (max_descriptors, hard_limit))
    DESCRIPTOR_RESERVE.resize(RESERVED_DESCRIPTORS)

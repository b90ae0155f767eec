"""Limits the process's file descriptors, and reserves some for calls that must not fail for lack of one."""

from __future__ import annotations

import errno
import os
import resource
from collections.abc import Iterator
from contextlib import contextmanager

# Raised by system calls that find no descriptor, or no memory for one.
OUT_OF_DESCRIPTORS_ERRNOS = (errno.EMFILE, errno.ENFILE, errno.ENOBUFS, errno.ENOMEM)
RESERVED_DESCRIPTORS = 4  # the watch, its replacement, a link between replicas, the configuration's file


class DescriptorReserve:
    """Holds descriptors open on ``/dev/null``, and releases them for calls that must not fail.

    Clients may hold all other descriptors for as long as they like. Without the reserve the watch of the
    endpoint list would get none, and the relay would go on with an old list.
    """

    def __init__(self) -> None:
        self._descriptors: list[int] = []
        self._size = 0

    def resize(self, size: int) -> None:
        """Hold ``size`` descriptors from now on, or fewer where the process has no more."""
        self._size = size
        while len(self._descriptors) > size:
            os.close(self._descriptors.pop())
        self.refill()

    def refill(self) -> bool:
        """Replace the descriptors that were released; returns False while one of them cannot be.

        Called before a client is given a descriptor.
        """
        while len(self._descriptors) < self._size:
            try:
                self._descriptors.append(os.open(os.devnull, os.O_RDONLY))
            except OSError:
                return False
        return True

    def release_one(self) -> bool:
        """Free one descriptor for use before the next await; returns False if the reserve is empty."""
        if not self._descriptors:
            return False
        os.close(self._descriptors.pop())
        return True

    @contextmanager
    def borrow(self) -> Iterator[None]:
        """Free one descriptor for a file that is opened and closed in this context, without an await."""
        self.release_one()
        try:
            yield
        finally:
            self.refill()


DESCRIPTOR_RESERVE = DescriptorReserve()  # one for the process, as is its descriptor table


def set_descriptor_limit(max_descriptors: int) -> None:
    """Set the process's soft limit to ``max_descriptors``, and fill the reserve.

    With it, running out of descriptors is an error of the call, which the listener handles.
    """
    _, hard_limit = resource.getrlimit(resource.RLIMIT_NOFILE)
    if hard_limit == resource.RLIM_INFINITY or hard_limit >= max_descriptors:
        resource.setrlimit(resource.RLIMIT_NOFILE, (max_descriptors, hard_limit))
    DESCRIPTOR_RESERVE.resize(RESERVED_DESCRIPTORS)

"""File descriptors: how many this process may open, and a reserve of them for what must not wait."""

from __future__ import annotations

import errno
import os
import resource
from collections.abc import Iterator
from contextlib import contextmanager

# The errors of a system call that had no descriptor, or no memory, for a new one.
OUT_OF_DESCRIPTORS_ERRNOS = (errno.EMFILE, errno.ENFILE, errno.ENOBUFS, errno.ENOMEM)
# The watch and the one that takes its place, a link between stores, and the configuration's file.
RESERVED_DESCRIPTORS = 4


class DescriptorReserve:
    """Descriptors that no client can take: held open on nothing, and released for what must not wait.

    Clients may fill all others for as long as they like. Without these the watch of the endpoint list
    would get none, and the relay would go on with an old list.
    """

    def __init__(self) -> None:
        self._descriptors: list[int] = []
        self._size = 0

    def resize(self, size: int) -> None:
        """Keep ``size`` descriptors from now on, as far as there are so many."""
        self._size = size
        while len(self._descriptors) > size:
            os.close(self._descriptors.pop())
        self.refill()

    def refill(self) -> bool:
        """Called before a client takes a descriptor: False while one that was released is not replaced."""
        while len(self._descriptors) < self._size:
            try:
                self._descriptors.append(os.open(os.devnull, os.O_RDONLY))
            except OSError:
                return False
        return True

    def release_one(self) -> bool:
        """One is free from here on, until the next await. False if there is none left to release."""
        if not self._descriptors:
            return False
        os.close(self._descriptors.pop())
        return True

    @contextmanager
    def borrow(self) -> Iterator[None]:
        """For a file that is read and closed again without an await."""
        self.release_one()
        try:
            yield
        finally:
            self.refill()


DESCRIPTOR_RESERVE = DescriptorReserve()  # one for the process, as its table of descriptors is


def set_descriptor_limit(max_descriptors: int) -> None:
    """Let running out show as an error that the listener handles. Called with the configuration's limit."""
    _, hard_limit = resource.getrlimit(resource.RLIMIT_NOFILE)
    if hard_limit == resource.RLIM_INFINITY or hard_limit >= max_descriptors:
        resource.setrlimit(resource.RLIMIT_NOFILE, (max_descriptors, hard_limit))
    DESCRIPTOR_RESERVE.resize(RESERVED_DESCRIPTORS)

"""Messages between a scale run and its child processes.

The run writes one JSON object a line to a child's standard input, with the command under the key ``do``, and
reads one JSON line with the answer from its standard output. The values here are those on the pipe.
"""

from __future__ import annotations

from enum import StrEnum

from msgspec import Struct, field


class Role(StrEnum):
    """The role of a child process, under the key ``role`` of its job file."""

    EMULATED = "hollow"
    REAL = "real"
    LINKS = "lanes"


class Command(StrEnum):
    """A command to a child process. Link processes know CONFIGURE_LINKS, STATUS and END only."""

    START = "start"
    STOP = "stop"
    PUT = "put"
    ARRIVALS = "seen"
    STATUS = "told"
    CONFIGURE_LINKS = "change"
    END = "end"


class MemberStatus(Struct, frozen=True):
    """The state of one member; times are of the machine's monotonic clock, in seconds."""

    store_hash: str = field(name="hash")
    record_count: int = field(name="records")
    running: bool
    link_count: int = field(name="links")
    listed_s: float  # when the last endpoint list arrived
    list_count: int = field(name="lists")
    failed_list_count: int = field(name="lists_failed")


class ProcessStatus(Struct, frozen=True):
    """The state of a process with members; memory is resident, in bytes."""

    members: dict[str, MemberStatus]
    initial_memory: int = field(name="bare")  # before the first member was made
    memory: int

"""Messages between a scale run and its child processes.

The run writes each command as one line of JSON to the child's standard input; the key ``do`` names the
command. The child answers with one line of JSON on its standard output. Encoded names and values are those on
the pipe.
"""

from __future__ import annotations

from msgspec import UNSET, Struct, UnsetType, field

# ---------------------------------------------------------------- commands


class Start(Struct, frozen=True, tag_field="do", tag="start", omit_defaults=True):
    """Command to start members, or all if ``members`` is empty; ``wipe`` empties their stores first."""

    members: list[str] = []
    wipe: bool = False


class Stop(Struct, frozen=True, tag_field="do", tag="stop"):
    """Command to stop emulated members as a crash would."""

    members: list[str]


class Put(Struct, frozen=True, tag_field="do", tag="put"):
    """Command to put a record at a member.

    The answer is the time just before the put, in seconds on the machine's monotonic clock.
    """

    member: str
    key: str
    value: object


class GetArrivals(Struct, frozen=True, tag_field="do", tag="seen"):
    """Query for the arrivals of changes; the answer maps member names to MemberArrivals."""


class GetStatus(Struct, frozen=True, tag_field="do", tag="told"):
    """Query for the ProcessStatus of a process with members."""


class ConfigureLinks(Struct, frozen=True, tag_field="do", tag="change"):
    """Command to cut, heal or set the loss of all links whose names begin with ``name_prefix``."""

    name_prefix: str = field(name="lanes")
    cut: bool | UnsetType = UNSET
    loss: float | UnsetType = UNSET


Command = Start | Stop | Put | GetArrivals | GetStatus | ConfigureLinks


# ---------------------------------------------------------------- answers


class Ready(Struct, frozen=True):
    """First line that a child writes, once it can execute commands."""

    pid: int = field(name="ready")


class CommandFailed(Struct, frozen=True, forbid_unknown_fields=True):
    """Answer to a command that failed."""

    error: str


class MemberArrivals(Struct, frozen=True, array_like=True):
    """Times at which a member, and its present copy of the store, first held each change, by key."""

    first_s: dict[str, float]
    present_copy_s: dict[str, float]


class MemberStatus(Struct, frozen=True):
    """State of one member; times are seconds on the machine's monotonic clock."""

    store_hash: str = field(name="hash")
    record_count: int = field(name="records")
    running: bool
    link_count: int | None = field(name="links")  # None if the replication does not count its links
    listed_s: float | None  # arrival of the last endpoint list; None if none has arrived
    list_count: int = field(name="lists")
    failed_list_count: int = field(name="lists_failed")


class ProcessStatus(Struct, frozen=True):
    """State of a process with members; memory is resident memory in bytes."""

    members: dict[str, MemberStatus]
    initial_memory: int = field(name="bare")  # memory before the first member was made
    memory: int

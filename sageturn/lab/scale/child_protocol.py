"""Messages between a scale run and its child processes.

The run writes one JSON object a line to a child's standard input, with the command under the key ``do``, and
reads one JSON line with the answer from its standard output. Encoded names and values are those on the pipe.
"""

from __future__ import annotations

from msgspec import UNSET, Struct, UnsetType, field

# ---------------------------------------------------------------- commands


class Start(Struct, frozen=True, tag_field="do", tag="start", omit_defaults=True):
    """Starts members, all if ``members`` is empty; ``wipe``: with an empty copy of the store."""

    members: list[str] = []
    wipe: bool = False


class Stop(Struct, frozen=True, tag_field="do", tag="stop"):
    """Stops emulated members as a crash would."""

    members: list[str]


class Put(Struct, frozen=True, tag_field="do", tag="put"):
    """Puts a record at a member. The answer is the moment before, on the machine's monotonic clock."""

    member: str
    key: str
    value: object


class GetArrivals(Struct, frozen=True, tag_field="do", tag="seen"):
    """Asks for the arrivals of changes; the answer has a MemberArrivals for each member."""


class GetStatus(Struct, frozen=True, tag_field="do", tag="told"):
    """Asks for the ProcessStatus of a process with members."""


class ConfigureLinks(Struct, frozen=True, tag_field="do", tag="change"):
    """Cuts, heals or sets the loss of the links whose names begin with ``name_prefix``."""

    name_prefix: str = field(name="lanes")
    cut: bool | UnsetType = UNSET
    loss: float | UnsetType = UNSET


Command = Start | Stop | Put | GetArrivals | GetStatus | ConfigureLinks


# ---------------------------------------------------------------- answers


class Ready(Struct, frozen=True):
    """The first line that a child writes."""

    pid: int = field(name="ready")


class CommandFailed(Struct, frozen=True, forbid_unknown_fields=True):
    """The answer to a command that failed."""

    error: str


class MemberArrivals(Struct, frozen=True, array_like=True):
    """The time at which a member, and its present copy, first held each change, by the change's key."""

    first_s: dict[str, float]
    present_copy_s: dict[str, float]


class MemberStatus(Struct, frozen=True):
    """The state of one member; times are of the machine's monotonic clock, in seconds."""

    store_hash: str = field(name="hash")
    record_count: int = field(name="records")
    running: bool
    link_count: int | None = field(name="links")  # None where the replication does not count its links
    listed_s: float | None  # when the last endpoint list arrived
    list_count: int = field(name="lists")
    failed_list_count: int = field(name="lists_failed")


class ProcessStatus(Struct, frozen=True):
    """The state of a process with members; memory is resident, in bytes."""

    members: dict[str, MemberStatus]
    initial_memory: int = field(name="bare")  # before the first member was made
    memory: int

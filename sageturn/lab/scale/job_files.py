"""Job files of a scale run's child processes; encoded names and values are those in the files."""

from __future__ import annotations

from enum import StrEnum
from typing import ClassVar

from msgspec import Struct, field

from sageturn.net.json_stream import JsonObject


class Role(StrEnum):
    """The role of a child process, under the key ``role`` of its job file."""

    EMULATED = "hollow"
    REAL = "real"
    LINKS = "lanes"


class MemberJob(Struct, frozen=True):
    """One member: its name, placement and addresses, and the settings of its balancer."""

    name: str
    zone: str
    region: str
    port: int
    peers: list[int]  # ports of the members that it dials
    settings: JsonObject  # by the keys of a relay's settings file
    seed: int
    row: int = 0  # of its counters within the process's file


class CommonJob(Struct, frozen=True):
    """The part of a job that all members of a run share."""

    secret: str  # hexadecimal
    interval_s: float
    spread: str
    discovery_port: int = field(name="discovery")
    key_count: int = field(name="keys")
    state_s: float  # an emulated member's interval of state records; it writes none at 0


class EmulatedJob(Struct, frozen=True, tag_field="role", tag=Role.EMULATED.value):
    """A process of emulated members."""

    role: ClassVar[Role] = Role.EMULATED
    members: list[MemberJob]
    common: CommonJob = field(name="whole")
    routes: dict[int, int]  # a member's port to that of the link emulation, from this process's zone
    counts_file: str = field(name="counts")


class RelayJob(Struct, frozen=True, tag_field="role", tag=Role.REAL.value):
    """A process of one whole relay; ``members`` has it alone."""

    role: ClassVar[Role] = Role.REAL
    members: list[MemberJob]
    common: CommonJob = field(name="whole")
    routes: dict[int, int]
    config_file: str = field(name="config")
    operator_file: str = field(name="operator")
    counts_file: str = field(name="counts")


class LinkSettings(Struct, frozen=True):
    """One emulated link; ``loss`` is the probability of each segment's loss."""

    name: str
    delay_s: float
    loss: float


class LinkListener(Struct, frozen=True):
    """A port of the link emulation, and the member's port that it forwards to over a link."""

    port: int
    member_port: int = field(name="to")
    link: str = field(name="lane")


class LinkJob(Struct, frozen=True, tag_field="role", tag=Role.LINKS.value):
    """A process that emulates all links to one zone's members."""

    role: ClassVar[Role] = Role.LINKS
    links: list[LinkSettings] = field(name="lanes")
    listeners: list[LinkListener]
    seed: int


MemberProcessJob = EmulatedJob | RelayJob
Job = MemberProcessJob | LinkJob

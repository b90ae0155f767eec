"""Job files of a scale run's child processes; encoded names and values are those in the files."""

from __future__ import annotations

from enum import StrEnum
from typing import ClassVar

from msgspec import Struct, field

from sageturn.net.json_stream import JsonObject


class Role(StrEnum):
    """Role of a child process, the value of the key ``role`` in its job file."""

    EMULATED = "hollow"
    REAL = "real"
    LINKS = "lanes"


class MemberJob(Struct, frozen=True):
    """Job of one member: its name, location and ports, and the settings of its balancer."""

    name: str
    zone: str
    region: str
    port: int
    peers: list[int]  # ports of the members that it dials
    settings: JsonObject  # settings under the keys of a relay's settings file
    seed: int
    row: int = 0  # index of its counters in the process's counter file


class CommonJob(Struct, frozen=True):
    """Part of a job that all members of a run share."""

    secret: str  # hexadecimal digits
    interval_s: float  # interval of the replication's digests
    spread: str
    discovery_port: int = field(name="discovery")
    key_count: int = field(name="keys")
    state_s: float  # interval of an emulated member's state records; 0 means none


class EmulatedJob(Struct, frozen=True, tag_field="role", tag=Role.EMULATED.value):
    """Job of a process with emulated members."""

    role: ClassVar[Role] = Role.EMULATED
    members: list[MemberJob]
    common: CommonJob = field(name="whole")
    routes: dict[int, int]  # link emulation's port for this process's zone, by the member's own port
    counts_file: str = field(name="counts")


class RelayJob(Struct, frozen=True, tag_field="role", tag=Role.REAL.value):
    """Job of a process with one whole relay, the only entry of ``members``."""

    role: ClassVar[Role] = Role.REAL
    members: list[MemberJob]
    common: CommonJob = field(name="whole")
    routes: dict[int, int]
    config_file: str = field(name="config")
    operator_file: str = field(name="operator")
    counts_file: str = field(name="counts")


class LinkSettings(Struct, frozen=True):
    """Settings of one emulated link; ``loss`` is the probability that a segment is lost."""

    name: str
    delay_s: float
    loss: float


class LinkListener(Struct, frozen=True):
    """A port of the link emulation, and the member's port and the link that it forwards to."""

    port: int
    member_port: int = field(name="to")
    link: str = field(name="lane")


class LinkJob(Struct, frozen=True, tag_field="role", tag=Role.LINKS.value):
    """Job of a process that emulates all links to one zone's members."""

    role: ClassVar[Role] = Role.LINKS
    links: list[LinkSettings] = field(name="lanes")
    listeners: list[LinkListener]
    seed: int


MemberProcessJob = EmulatedJob | RelayJob
Job = MemberProcessJob | LinkJob

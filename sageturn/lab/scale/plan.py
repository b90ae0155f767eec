"""Experiment files of scale runs: members, keys, links, faults, and bounds on the machine's resources.

The classes' field names are the keys of the TOML file.
"""

from __future__ import annotations

import math
from collections.abc import Iterable
from enum import StrEnum
from pathlib import Path
from typing import Annotated

import msgspec
from msgspec import Meta, Struct, field

from sageturn.lab.errors import InvalidExperimentError
from sageturn.lab.runner.experiment import Name, Positive
from sageturn.lab.scale.errors import InvalidPlanError
from sageturn.lab.scale.units import BYTES_PER_GB, BYTES_PER_MB, S_PER_MINUTE

MAX_MEMORY_GB = 12.0
MAX_PROCESSES = 300
MAX_MINUTES = 60.0
MAX_DESCRIPTORS_PER_PROCESS = 16000
MAX_CLIENTS = 4000  # clients over all real relays; each takes three descriptors in the run's own process
ENTRY_BYTES = 130  # memory of an entry in an emulated copy; copies of a process share the record itself
RELAY_RECORD_BYTES = 500  # memory of a preloaded record in a real relay
PROCESS_MB = 45.0  # memory of a process that has no members


class Spread(StrEnum):
    """Replication of the store that a size measures."""

    DIGEST = "digest"
    DELTA = "delta"


class Topology(StrEnum):
    """Topology of the links between members.

    ``MESH`` and ``TREE`` are configured; with ``SEEDS``, members get a few peers and choose their links.
    """

    MESH = "mesh"
    TREE = "tree"
    SEEDS = "seeds"


class FaultKind(StrEnum):
    """Kind of a fault; ``Fault`` describes each."""

    KILL = "kill"
    ZONE = "zone"
    CUT = "cut"
    LOSS = "loss"
    RESTART = "restart"
    DISCOVERY = "discovery"


Ratio = Annotated[float, Meta(ge=0, le=1)]
DelayMs = Annotated[float, Meta(ge=0, le=1000)]
NotNegative = Annotated[float, Meta(ge=0)]


class LinkProfile(Struct, frozen=True, forbid_unknown_fields=True):
    """One-way delays by class of link, in milliseconds; ``loss`` is the ratio of lost TCP segments."""

    zone_ms: DelayMs = 0.25
    region_ms: DelayMs = 1.0
    between_ms: DelayMs = 35.0
    loss: Ratio = 0.0


class Fault(Struct, frozen=True, forbid_unknown_fields=True):
    """A fault, which is injected in its own phase while changes are put.

    ``kill``: the ratio ``part`` of emulated members is killed and started again after ``length_s``, with
    empty copies if ``wipe`` is true. ``zone``: the same for all emulated members of the last zone. ``cut``:
    all links between regions are cut. ``loss``: the ratio ``part`` of segments is lost on all links.
    ``restart``: every emulated member is restarted in turn, over ``length_s``. ``discovery``: discovery is
    down.
    """

    kind: str
    length_s: Positive = 10.0
    part: Ratio = 0.05
    wipe: bool = False
    after_s: NotNegative = 8.0

    def validate(self) -> None:
        """Check the fault.

        Raises:
            InvalidPlanError: A value is not allowed; the message begins with its key.
        """
        _validate_choice("kind", self.kind, FaultKind)
        if self.kind in (FaultKind.KILL, FaultKind.LOSS) and not 0 < self.part < 1:
            raise InvalidPlanError("part: must be above 0 and under 1")


class Size(Struct, frozen=True, forbid_unknown_fields=True):
    """Size of a fleet. The first ``real`` members are whole relays, each in its own process."""

    name: Name
    members: Annotated[int, Meta(ge=2, le=1000)]
    keys: Annotated[int, Meta(ge=0, le=200_000)] = 100
    real: Annotated[int, Meta(ge=0, le=64)] = 0
    spread: str = Spread.DIGEST.value
    topology: str = Topology.MESH.value
    fanout: Annotated[int, Meta(ge=2)] = 8
    per_process: Annotated[int, Meta(ge=1)] = 24
    clients: Annotated[int, Meta(ge=0, le=4000)] = 0  # clients per real relay; each sends a line every 2 s
    state_s: NotNegative = 0.0  # interval of an emulated member's state records; 0 means none
    faults: tuple[Fault, ...] = ()
    predict: bool = False  # predicts this size's metrics before its run from the other sizes' results

    @property
    def link_count(self) -> int:
        """Number of configured links in a mesh or a tree; with ``SEEDS``, members choose their links."""
        if self.topology == Topology.MESH:
            return self.members * (self.members - 1) // 2
        return self.members - 1


class Windows(Struct, frozen=True, forbid_unknown_fields=True):
    """Lengths of a run's windows in seconds, and the number of ``changes`` that are put in each phase."""

    settle_s: Positive = 6.0
    idle_s: Positive = 12.0
    changes: Annotated[int, Meta(ge=1, le=2000)] = 24
    changes_s: Positive = 8.0
    tail_s: Positive = 5.0
    ready_s: Positive = 90.0


class Bounds(Struct, frozen=True, forbid_unknown_fields=True):
    """Limits of a run's memory, processes and duration; a run that exceeds them is rejected or ended."""

    memory_gb: Annotated[float, Meta(gt=0, le=MAX_MEMORY_GB)] = 8.0
    processes: Annotated[int, Meta(ge=3, le=MAX_PROCESSES)] = 64
    minutes: Annotated[float, Meta(gt=0, le=MAX_MINUTES)] = 10.0


class Environment(Struct, frozen=True, forbid_unknown_fields=True):
    """Number of listed endpoints, and the time that discovery takes for a call; calls are serialized."""

    hosts: Annotated[int, Meta(ge=1, le=5000)] = 90
    call_ms: NotNegative = 0.0


class ScaleExperiment(Struct, frozen=True, forbid_unknown_fields=True):
    """A whole experiment file; its sizes are run one after another, each with every seed."""

    name: Name
    sizes: Annotated[tuple[Size, ...], Meta(min_length=1)]
    why: str = ""
    seeds: Annotated[tuple[int, ...], Meta(min_length=1)] = (1,)
    regions: Annotated[int, Meta(ge=1, le=8)] = 2
    zones: Annotated[int, Meta(ge=1, le=16)] = 5
    interval_s: Annotated[float, Meta(ge=0.05, le=60)] = 2.0
    links: LinkProfile = field(default=LinkProfile(), name="lanes")
    windows: Windows = Windows()
    bounds: Bounds = Bounds()
    around: Environment = Environment()

    # ------------------------------------------------------------ validation

    def validate(self) -> None:
        """Check the experiment.

        Raises:
            InvalidPlanError: A value is not allowed; the message begins with its key.
        """
        if self.zones < self.regions:
            raise InvalidPlanError(
                "zones: must not be below regions, since each region has at least one zone"
            )
        names = [size.name for size in self.sizes]
        for number, size in enumerate(self.sizes):
            try:
                self._validate_size(size, names[:number])
            except InvalidPlanError as error:
                raise InvalidPlanError(f"sizes[{number}].{error}") from error

    def _validate_size(self, size: Size, earlier_names: list[str]) -> None:
        if size.name in earlier_names:
            raise InvalidPlanError(f"name: {size.name} is used by an earlier size")
        _validate_choice("spread", size.spread, Spread)
        _validate_choice("topology", size.topology, Topology)
        if size.real > size.members:
            raise InvalidPlanError("real: must not be above members")
        if size.real * size.clients > MAX_CLIENTS:
            raise InvalidPlanError(f"clients: at most {MAX_CLIENTS} clients are allowed over all real relays")
        for number, fault in enumerate(size.faults):
            try:
                fault.validate()
            except InvalidPlanError as error:
                raise InvalidPlanError(f"faults[{number}].{error}") from error
        self._validate_bounds(size)

    def _validate_bounds(self, size: Size) -> None:
        bounds = self.bounds
        processes = self.process_count(size)
        if processes > bounds.processes:
            raise InvalidPlanError(
                f"per_process: {processes} processes are needed, bounds.processes allows {bounds.processes}"
            )
        memory_gb = self.estimated_memory_gb(size)
        if memory_gb > bounds.memory_gb:
            raise InvalidPlanError(
                f"keys: {memory_gb:.1f} GB are needed, bounds.memory_gb allows {bounds.memory_gb:g}"
            )
        descriptors = self.max_descriptors(size)
        if descriptors > MAX_DESCRIPTORS_PER_PROCESS:
            raise InvalidPlanError(
                f"members: {descriptors} descriptors in one process, {MAX_DESCRIPTORS_PER_PROCESS} at most"
            )
        minutes = self.min_duration_s(size) / S_PER_MINUTE
        if minutes > bounds.minutes:
            raise InvalidPlanError(
                f"faults: the run takes {minutes:.1f} minutes, bounds.minutes allows {bounds.minutes:g}"
            )

    # ------------------------------------------------------------ placement

    def zone_of(self, member: int) -> int:
        """Return the zone of a member; members are assigned to the zones in turn."""
        return member % self.zones

    def region_of(self, zone: int) -> int:
        """Return the region of a zone; of five zones the first three are in the first of two regions."""
        return zone * self.regions // self.zones

    # ------------------------------------------------------------ required resources

    def process_count(self, size: Size) -> int:
        """Return the number of child processes: relays, emulated members and one link emulation per zone."""
        emulated = size.members - size.real
        emulated_by_zone = [len(range(zone, emulated, self.zones)) for zone in range(self.zones)]
        emulated_processes = sum(math.ceil(members / size.per_process) for members in emulated_by_zone)
        return size.real + emulated_processes + self.zones

    def estimated_memory_gb(self, size: Size) -> float:
        """Estimate the memory in GB of processes, copies of the store and real relays' own records."""
        process_bytes = self.process_count(size) * PROCESS_MB * BYTES_PER_MB
        copy_bytes = size.members * size.keys * ENTRY_BYTES
        relay_bytes = size.real * size.keys * RELAY_RECORD_BYTES
        return (process_bytes + copy_bytes + relay_bytes) / BYTES_PER_GB

    def max_descriptors(self, size: Size) -> int:
        """Return the number of descriptors of the process that needs the most."""
        forwarder = 2 * size.link_count / self.zones + size.members
        members = min(size.per_process, size.members)
        worker = 2 * size.link_count / size.members * members + 3 * size.per_process
        return int(max(forwarder, worker))

    def min_duration_s(self, size: Size) -> float:
        """Return the seconds of all windows and faults in the file, without startup and readiness."""
        windows = self.windows
        faults_s = sum(fault.length_s + fault.after_s + windows.tail_s for fault in size.faults)
        return windows.settle_s + windows.idle_s + windows.changes_s + windows.tail_s + faults_s


def _validate_choice(key: str, value: str, allowed: Iterable[str]) -> None:
    if value not in list(allowed):
        raise InvalidPlanError(f"{key}: {value} must be one of {', '.join(allowed)}")


def read_scale(file: Path) -> ScaleExperiment:
    """Read an experiment in TOML. Raise InvalidExperimentError, whose message names the file and the key."""
    try:
        data = file.read_bytes()
    except OSError as error:
        raise InvalidExperimentError(f"{file}: {error.strerror}") from error
    try:
        experiment = msgspec.toml.decode(data, type=ScaleExperiment)
        experiment.validate()
    except (msgspec.DecodeError, msgspec.ValidationError, ValueError) as error:
        raise InvalidExperimentError(f"{file}: {error}") from error
    return experiment

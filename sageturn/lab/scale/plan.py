"""Experiments of scale as files: how many members and keys, which links and faults, and what it may cost."""

from __future__ import annotations

import math
from pathlib import Path
from typing import Annotated

import msgspec
from msgspec import Meta, Struct

from sageturn.lab.errors import InvalidExperimentError
from sageturn.lab.experiment import Name, Positive

MEMORY_MOST_GB = 12.0
PROCESSES_MOST = 300
MINUTES_MOST = 60.0
DESCRIPTORS = 16000  # for one process; the system here allows 20,000
CLIENTS_MOST = 4000  # three descriptors each in the run's own process, where hosts and clients stand
# What a copy's entry of a preloaded record takes: its place in the dictionary, the record being shared.
ENTRY_OCTETS = 130
# Of one process before any member is in it, seen on Python 3.11 to 3.13.
PROCESS_MB = 45.0

SPREADS = ("digest", "delta")
TOPOLOGIES = ("mesh", "tree", "seeds")
FAULTS = ("kill", "zone", "cut", "loss", "restart", "discovery")

Part = Annotated[float, Meta(ge=0, le=1)]
Delay = Annotated[float, Meta(ge=0, le=1000)]


class Lanes(Struct, frozen=True, forbid_unknown_fields=True):
    """One way, in milliseconds, by class of link; ``loss`` is a part of TCP's segments."""

    zone_ms: Delay = 0.25
    region_ms: Delay = 1.0
    between_ms: Delay = 35.0
    loss: Part = 0.0


class Fault(Struct, frozen=True, forbid_unknown_fields=True):
    """Each is a phase of its own, with changes in its middle.

    ``kill``: ``part`` of the members die, and come back after ``length_s`` (``wipe``: with an empty copy).
    ``zone``: all members of the last zone do. ``cut``: the regions lose each other. ``loss``: ``part`` of all
    segments. ``restart``: every member in turn, over ``length_s``. ``discovery``: it is down.
    """

    kind: str
    length_s: Positive = 10.0
    part: Part = 0.05
    wipe: bool = False
    after_s: Annotated[float, Meta(ge=0)] = 8.0

    def check(self) -> None:
        if self.kind not in FAULTS:
            raise ValueError(f"kind: {self.kind} must be one of {', '.join(FAULTS)}")
        if self.kind in ("kill", "loss") and not 0 < self.part < 1:
            raise ValueError("part: must be above 0 and under 1")


class Size(Struct, frozen=True, forbid_unknown_fields=True):
    """``real``: of the members, so many are whole relays, each in a process of its own."""

    name: Name
    members: Annotated[int, Meta(ge=2, le=1000)]
    keys: Annotated[int, Meta(ge=0, le=200_000)] = 100
    real: Annotated[int, Meta(ge=0, le=64)] = 0
    spread: str = "digest"
    topology: str = "mesh"
    fanout: Annotated[int, Meta(ge=2)] = 8
    per_process: Annotated[int, Meta(ge=1)] = 24
    clients: Annotated[int, Meta(ge=0, le=4000)] = 0  # standing at each real relay, a line every 2 s
    state_s: Annotated[float, Meta(ge=0)] = 0.0  # how often a hollow member tells of itself; 0: never
    faults: tuple[Fault, ...] = ()
    predict: bool = False  # reckoned from the smaller ones before it is played

    @property
    def links(self) -> int:
        """That members dial, where these are laid down by hand."""
        if self.topology == "mesh":
            return self.members * (self.members - 1) // 2
        return self.members - 1


class Windows(Struct, frozen=True, forbid_unknown_fields=True):
    """Seconds; ``changes`` are put within ``changes_s`` of each phase, at seeded moments."""

    settle_s: Positive = 6.0
    idle_s: Positive = 12.0
    changes: Annotated[int, Meta(ge=1, le=2000)] = 24
    changes_s: Positive = 8.0
    tail_s: Positive = 5.0
    ready_s: Positive = 90.0


class Bounds(Struct, frozen=True, forbid_unknown_fields=True):
    memory_gb: Annotated[float, Meta(gt=0, le=MEMORY_MOST_GB)] = 8.0
    processes: Annotated[int, Meta(ge=3, le=PROCESSES_MOST)] = 64
    minutes: Annotated[float, Meta(gt=0, le=MINUTES_MOST)] = 10.0  # for one size and seed


class Around(Struct, frozen=True, forbid_unknown_fields=True):
    """What stands around the relays: live hosts on the list, and how long discovery works on a call."""

    hosts: Annotated[int, Meta(ge=1, le=5000)] = 90
    call_ms: Annotated[float, Meta(ge=0)] = 0.0  # discovery works so long on each call, one after another


class ScaleExperiment(Struct, frozen=True, forbid_unknown_fields=True):
    name: Name
    sizes: Annotated[tuple[Size, ...], Meta(min_length=1)]
    why: str = ""
    seeds: Annotated[tuple[int, ...], Meta(min_length=1)] = (1,)
    regions: Annotated[int, Meta(ge=1, le=8)] = 2
    zones: Annotated[int, Meta(ge=1, le=16)] = 5
    interval_s: Annotated[float, Meta(ge=0.05, le=60)] = 2.0
    lanes: Lanes = Lanes()
    windows: Windows = Windows()
    bounds: Bounds = Bounds()
    around: Around = Around()

    def check(self) -> None:
        if self.zones < self.regions:
            raise ValueError("zones: each region has at least one")
        names = [size.name for size in self.sizes]
        for number, size in enumerate(self.sizes):
            try:
                if size.name in names[:number]:
                    raise ValueError(f"name: {size.name} is there twice")
                self._check_size(size)
            except ValueError as error:
                raise ValueError(f"sizes[{number}].{error}") from None

    def _check_size(self, size: Size) -> None:
        for key, value, known in (
            ("spread", size.spread, SPREADS),
            ("topology", size.topology, TOPOLOGIES),
        ):
            if value not in known:
                raise ValueError(f"{key}: {value} must be one of {', '.join(known)}")
        if size.real > size.members:
            raise ValueError("real: must not be above members")
        if size.real * size.clients > CLIENTS_MOST:
            raise ValueError(f"clients: {CLIENTS_MOST} over all real relays at most")
        for number, fault in enumerate(size.faults):
            try:
                fault.check()
            except ValueError as error:
                raise ValueError(f"faults[{number}].{error}") from None
        if (needed := self.processes(size)) > self.bounds.processes:
            allowed = f"bounds.processes allows {self.bounds.processes}"
            raise ValueError(f"per_process: {needed} processes are needed, {allowed}")
        if (gb := self.memory_gb(size)) > self.bounds.memory_gb:
            allowed = f"bounds.memory_gb allows {self.bounds.memory_gb:g}"
            raise ValueError(f"keys: {gb:.1f} GB are needed, {allowed}")
        if (most := self.descriptors(size)) > DESCRIPTORS:
            raise ValueError(f"members: {most} descriptors in one process, {DESCRIPTORS} at most")
        if (minutes := self.least_s(size) / 60.0) > self.bounds.minutes:
            allowed = f"bounds.minutes allows {self.bounds.minutes:g}"
            raise ValueError(f"faults: the run takes {minutes:.1f} minutes, {allowed}")

    # ------------------------------------------------------------ what it takes

    def zone(self, member: int) -> int:
        return member % self.zones

    def region(self, zone: int) -> int:
        """The first zones are the first region's: 3 and 2 of five."""
        return zone * self.regions // self.zones

    def lane_processes(self) -> int:
        return self.zones

    def processes(self, size: Size) -> int:
        hollow = size.members - size.real
        each = [len(range(zone, hollow, self.zones)) for zone in range(self.zones)]
        return size.real + sum(math.ceil(n / size.per_process) for n in each) + self.lane_processes()

    def memory_gb(self, size: Size) -> float:
        """Reckoned, before anything is started: processes, copies, and real relays' own records."""
        octets = self.processes(size) * PROCESS_MB * 2**20 + size.members * size.keys * ENTRY_OCTETS
        return (octets + size.real * size.keys * 500) / 2**30

    def descriptors(self, size: Size) -> int:
        """Of the process that needs most: a forwarder has two for each of its links, and its listeners."""
        lanes = 2 * size.links / self.zones + size.members
        worker = 2 * size.links / size.members * min(size.per_process, size.members)
        return int(max(lanes, worker + 3 * size.per_process))

    def least_s(self, size: Size) -> float:
        w = self.windows
        phases = sum(f.length_s + f.after_s + w.tail_s for f in size.faults)
        return w.settle_s + w.idle_s + w.changes_s + w.tail_s + phases


def read_scale(file: Path) -> ScaleExperiment:
    """TOML. Raises InvalidExperimentError, which names the file and the key."""
    try:
        data = file.read_bytes()
    except OSError as error:
        raise InvalidExperimentError(f"{file}: {error.strerror}") from None
    try:
        experiment = msgspec.toml.decode(data, type=ScaleExperiment)
        experiment.check()
    except (msgspec.DecodeError, msgspec.ValidationError, ValueError) as error:
        raise InvalidExperimentError(f"{file}: {error}") from None
    return experiment

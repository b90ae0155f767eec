"""Experiment files: the scenarios to simulate, the seeds, and the variants of the program.

The keys of a file are the names of the fields, or the ``name`` that a field is given.
"""

from __future__ import annotations

from collections.abc import Iterable
from pathlib import Path
from typing import Annotated

import msgspec
from msgspec import Meta, Struct, field

from sageturn.lab.errors import (
    InvalidExperimentError,
    InvalidSizeError,
    InvalidVariantError,
    LabError,
)
from sageturn.lab.faults.fault import ScheduledFault
from sageturn.lab.model.fleet_spec import FleetSpec
from sageturn.lab.model.planner_kind import PLANNER_NAMES, PlannerKind
from sageturn.net.json_stream import JsonObject
from sageturn.rebalance.options import MODES, RebalanceMode, RebalanceOptions

MIN_INITIAL_ENDPOINTS = 2

Positive = Annotated[float, Meta(gt=0)]
Name = Annotated[str, Meta(pattern=r"^[a-z0-9][a-z0-9_.+-]*$")]


class Size(Struct, frozen=True, forbid_unknown_fields=True):
    """Size of a fleet; see ``FleetSpec`` for the fields. The defaults are a usual load of ``guide-live``."""

    relays: Annotated[int, Meta(ge=1)] = 4
    hosts: Annotated[int, Meta(ge=2)] = 12
    initial_hosts: int | None = field(default=None, name="early")  # None means all endpoints
    zones: tuple[str, ...] = ("hanoi",)
    connections: Annotated[int, Meta(ge=10)] = 1000
    mean_lifetime_s: Positive = field(default=90.0, name="life_s")
    capacity_ratio: Positive = field(default=1.6, name="room")
    store_headroom: Annotated[float, Meta(ge=0)] = 1.0
    join_s: float = 20.0

    def spec(self, seed: int) -> FleetSpec:
        """Return the fleet of this size.

        Raises:
            InvalidSizeError: The number of initial endpoints is out of bounds.
        """
        initial_endpoints = self.hosts if self.initial_hosts is None else self.initial_hosts
        if not MIN_INITIAL_ENDPOINTS <= initial_endpoints <= self.hosts:
            raise InvalidSizeError("early: must be at least 2 and at most the value of hosts")
        return FleetSpec(
            relays=self.relays,
            endpoints=self.hosts,
            initial_endpoints=initial_endpoints,
            zones=self.zones,
            connections=self.connections,
            mean_lifetime_s=self.mean_lifetime_s,
            capacity_ratio=self.capacity_ratio,
            store_headroom=self.store_headroom,
            join_s=self.join_s,
            seed=seed,
        )


class Scenario(Struct, frozen=True, forbid_unknown_fields=True):
    """Run of a simulated fleet: its size, its length and its faults."""

    name: Name
    size: Size = Size()
    seconds: Positive = 60.0
    faults: tuple[ScheduledFault, ...] = field(default=(), name="troubles")


class Variant(Struct, frozen=True, forbid_unknown_fields=True):
    """Decision module and planner that all relays of a run use.

    ``policy`` is empty for the current decision module, a path, or ``git:REVISION``. ``planner``, whose key
    in the file is ``mover``, is a value of ``PlannerKind``; a plain string, so that an error can name the
    key. ``rebalance`` has fields of ``RebalanceOptions``.
    """

    name: Name
    policy: str = ""
    planner: str = field(default=PlannerKind.OFF.value, name="mover")
    rebalance: JsonObject = {}

    def options(self) -> RebalanceOptions:
        """Return the options of the planner.

        Raises:
            InvalidVariantError: The planner, a key or the mode is unknown.
            TypeError: A value has the wrong type.
        """
        if self.planner not in PLANNER_NAMES:
            raise InvalidVariantError("mover: must be off, naive or on")
        known = RebalanceOptions.__dataclass_fields__
        for key in self.rebalance:
            if key not in known:
                raise InvalidVariantError(f"rebalance.{key}: unknown key")
        options = RebalanceOptions(**{"mode": RebalanceMode.ON, **self.rebalance})
        if options.mode not in MODES:
            raise InvalidVariantError("rebalance.mode: must be one of " + ", ".join(MODES))
        return options


class Experiment(Struct, frozen=True, forbid_unknown_fields=True):
    """Scenarios, each of which is run with every seed and every variant."""

    name: Name
    scenarios: Annotated[tuple[Scenario, ...], Meta(min_length=1)]
    variants: Annotated[tuple[Variant, ...], Meta(min_length=1)]
    seeds: Annotated[tuple[int, ...], Meta(min_length=1)] = (1, 2, 3)
    why: str = ""

    def check(self) -> None:
        """Check the rules that the types of the fields do not express.

        Raises:
            InvalidExperimentError: A rule is violated; the message names the key.
        """
        _reject_duplicates("scenarios", (scenario.name for scenario in self.scenarios))
        _reject_duplicates("variants", (variant.name for variant in self.variants))
        for number, scenario in enumerate(self.scenarios):
            try:
                scenario.size.spec(1)
            except LabError as error:
                raise InvalidExperimentError(f"scenarios[{number}].size.{error}") from error
        for number, variant in enumerate(self.variants):
            try:
                variant.options()
            except (ValueError, TypeError) as error:
                raise InvalidExperimentError(f"variants[{number}].{error}") from error


def _reject_duplicates(key: str, names: Iterable[str]) -> None:
    seen: set[str] = set()
    for number, name in enumerate(names):
        if name in seen:
            raise InvalidExperimentError(f"{key}[{number}].name: {name} is a duplicate")
        seen.add(name)


def read_experiment(file: Path) -> Experiment:
    """Read an experiment file: JSON if its suffix is ``.json``, else TOML.

    Raises:
        InvalidExperimentError: The file cannot be read, or is invalid; the message names the file.
    """
    try:
        data = file.read_bytes()
    except OSError as error:
        raise InvalidExperimentError(f"{file}: {error.strerror}") from error
    decode = msgspec.json.decode if file.suffix == ".json" else msgspec.toml.decode
    try:
        experiment = decode(data, type=Experiment)
        experiment.check()
    except (msgspec.DecodeError, msgspec.ValidationError, ValueError) as error:
        raise InvalidExperimentError(f"{file}: {error}") from error
    return experiment

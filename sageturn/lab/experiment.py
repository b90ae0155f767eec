"""Experiments as files: which days, under which seeds, with which variants of the program."""

from __future__ import annotations

from pathlib import Path
from typing import Annotated, Any

import msgspec
from msgspec import Meta, Struct

from sageturn.lab.faults import ScheduledFault
from sageturn.lab.fleet_spec import FleetSpec
from sageturn.rebalance.options import MODES, RebalanceOptions

Positive = Annotated[float, Meta(gt=0)]
Name = Annotated[str, Meta(pattern=r"^[a-z0-9][a-z0-9_.+-]*$")]


class BadExperiment(ValueError):
    """The text names the file and the key."""


class Size(Struct, frozen=True, forbid_unknown_fields=True):
    """A fleet; what is left out is as on a usual day of ``guide-live``."""

    relays: Annotated[int, Meta(ge=1)] = 4
    hosts: Annotated[int, Meta(ge=2)] = 12
    early: int | None = None  # hosts that are there from the start; all of them, if it is left out
    zones: tuple[str, ...] = ("hanoi",)
    connections: Annotated[int, Meta(ge=10)] = 1000
    life_s: Positive = 90.0
    room: Positive = 1.6  # what the fleet can carry, times what it is asked for
    store_headroom: Annotated[float, Meta(ge=0)] = 1.0
    join_s: float = 20.0

    def spec(self, seed: int) -> FleetSpec:
        early = self.hosts if self.early is None else self.early
        if not 2 <= early <= self.hosts:
            raise ValueError("early: must be from 2 to hosts")
        return FleetSpec(
            relays=self.relays,
            hosts=self.hosts,
            early=early,
            zones=self.zones,
            connections=self.connections,
            life_s=self.life_s,
            room=self.room,
            store_headroom=self.store_headroom,
            join_s=self.join_s,
            seed=seed,
        )


class Scenario(Struct, frozen=True, forbid_unknown_fields=True):
    """A day. ``troubles`` as ``sageturn.lab.faults`` has them."""

    name: Name
    size: Size = Size()
    seconds: Positive = 60.0
    troubles: tuple[ScheduledFault, ...] = ()


class Variant(Struct, frozen=True, forbid_unknown_fields=True):
    """``policy``: empty for the present module, a file, or ``git:REVISION``."""

    name: Name
    policy: str = ""
    mover: str = "off"
    rebalance: dict[str, Any] = {}

    def options(self) -> RebalanceOptions:
        if self.mover not in ("off", "naive", "on"):
            raise ValueError("mover: must be off, naive or on")
        known = RebalanceOptions.__dataclass_fields__
        for key in self.rebalance:
            if key not in known:
                raise ValueError(f"rebalance.{key}: is unknown")
        options = RebalanceOptions(**{"mode": "on", **self.rebalance})
        if options.mode not in MODES:
            raise ValueError("rebalance.mode: must be one of " + ", ".join(MODES))
        return options


class Experiment(Struct, frozen=True, forbid_unknown_fields=True):
    name: Name
    scenarios: Annotated[tuple[Scenario, ...], Meta(min_length=1)]
    variants: Annotated[tuple[Variant, ...], Meta(min_length=1)]
    seeds: Annotated[tuple[int, ...], Meta(min_length=1)] = (1, 2, 3)
    why: str = ""

    def check(self) -> None:
        for what, parts in (("scenarios", self.scenarios), ("variants", self.variants)):
            names = [part.name for part in parts]
            for number, name in enumerate(names):
                if name in names[:number]:
                    raise ValueError(f"{what}[{number}].name: {name} is there twice")
        for number, scenario in enumerate(self.scenarios):
            try:
                scenario.size.spec(1)
            except ValueError as error:
                raise ValueError(f"scenarios[{number}].size.{error}") from None
        for number, variant in enumerate(self.variants):
            try:
                variant.options()
            except (ValueError, TypeError) as error:
                raise ValueError(f"variants[{number}].{error}") from None


def read_experiment(file: Path) -> Experiment:
    """TOML or JSON, by the file's ending. Raises BadExperiment."""
    try:
        data = file.read_bytes()
    except OSError as error:
        raise BadExperiment(f"{file}: {error.strerror}") from None
    decode = msgspec.json.decode if file.suffix == ".json" else msgspec.toml.decode
    try:
        experiment = decode(data, type=Experiment)
        experiment.check()
    except (msgspec.DecodeError, msgspec.ValidationError, ValueError) as error:
        raise BadExperiment(f"{file}: {error}") from None
    return experiment

"""Injection of an experiment file's faults into a running fleet."""

from __future__ import annotations

import asyncio
import time
from collections.abc import Sequence
from random import Random

from sageturn.lab.scale.arrivals import Outages
from sageturn.lab.scale.child_process import ChildProcess
from sageturn.lab.scale.child_protocol import ConfigureLinks
from sageturn.lab.scale.environment import ScaleDiscovery
from sageturn.lab.scale.fleet import BETWEEN_REGIONS, Fleet
from sageturn.lab.scale.member_group import MemberGroup
from sageturn.lab.scale.plan import Fault, FaultKind, ScaleExperiment

ALL_LINKS = ""  # empty prefix, which every link's name begins with


class FaultInjector:
    """Injector of one phase's fault, which records the outages of members and of discovery.

    ``rng`` is the run's random generator, so the same seed chooses the same members.
    """

    def __init__(
        self,
        experiment: ScaleExperiment,
        fleet: Fleet,
        rng: Random,
        members: MemberGroup,
        link_processes: Sequence[ChildProcess],
        discovery: ScaleDiscovery,
    ) -> None:
        self._experiment = experiment
        self._fleet = fleet
        self._rng = rng
        self._members = members
        self._link_processes = link_processes
        self._discovery = discovery
        self.outages = Outages()
        self.discovery_returned_s: float | None = None  # None if discovery was not stopped

    async def inject(self, fault: Fault) -> None:
        """Inject a fault. Return once it is over and all stopped members have been started again."""
        match fault.kind:
            case FaultKind.CUT:
                await self._cut_regions(fault)
            case FaultKind.LOSS:
                await self._inject_loss(fault)
            case FaultKind.DISCOVERY:
                await self._stop_discovery(fault)
            case FaultKind.RESTART:
                await self._restart_in_turn(fault)
            case _:
                await self._kill_members(fault)

    async def _cut_regions(self, fault: Fault) -> None:
        await self._configure_links(ConfigureLinks(BETWEEN_REGIONS, cut=True))
        await asyncio.sleep(fault.length_s)
        await self._configure_links(ConfigureLinks(BETWEEN_REGIONS, cut=False))

    async def _inject_loss(self, fault: Fault) -> None:
        await self._configure_links(ConfigureLinks(ALL_LINKS, loss=fault.part))
        await asyncio.sleep(fault.length_s)
        await self._configure_links(ConfigureLinks(ALL_LINKS, loss=self._experiment.links.loss))

    async def _stop_discovery(self, fault: Fault) -> None:
        await self._discovery.stop()
        await asyncio.sleep(fault.length_s)
        await self._discovery.start()
        self.discovery_returned_s = time.monotonic()

    async def _restart_in_turn(self, fault: Fault) -> None:
        pause_s = fault.length_s / len(self._fleet.names)
        emulated = self._fleet.emulated_names
        for name in self._rng.sample(emulated, len(emulated)):
            await self._stop_members([name])
            await self._restart_members([name], fault.wipe)
            await asyncio.sleep(pause_s)

    async def _kill_members(self, fault: Fault) -> None:
        names = self._choose_targets(fault)
        await self._stop_members(names)
        await asyncio.sleep(fault.length_s)
        await self._restart_members(names, fault.wipe)

    def _choose_targets(self, fault: Fault) -> list[str]:
        """Return the emulated members that a fault kills.

        ``ZONE`` kills those of the last zone. ``KILL`` kills the fault's ratio of them, always with the first
        one, which is the root of a configured tree if the fleet has no real relays.
        """
        emulated = self._fleet.emulated_names
        if fault.kind == FaultKind.ZONE:
            last_zone = self._experiment.zones - 1
            return [name for name in emulated if self._fleet.zone_of(name) == last_zone]
        count = max(1, round(fault.part * len(emulated)))
        return [emulated[0], *self._rng.sample(emulated[1:], count - 1)]

    async def _stop_members(self, names: Sequence[str]) -> None:
        self.outages.mark_down(names, time.monotonic())
        await self._members.stop_members(names)

    async def _restart_members(self, names: Sequence[str], wipe: bool) -> None:
        await self._members.restart_members(names, wipe)
        self.outages.mark_up(names, time.monotonic())

    async def _configure_links(self, command: ConfigureLinks) -> None:
        await asyncio.gather(*(process.request(command, bool) for process in self._link_processes))

"""Builder of a scale run's child processes (link emulation, emulated members, relays) and their files."""

from __future__ import annotations

import json
import socket
from collections.abc import Sequence
from pathlib import Path
from random import Random

import msgspec

from sageturn.lab.loopback.ports import reserve_port
from sageturn.lab.scale import counting
from sageturn.lab.scale.child_process import ChildProcess
from sageturn.lab.scale.fleet import (
    BETWEEN_REGIONS,
    WITHIN_REGION,
    WITHIN_ZONE,
    Fleet,
    link_name,
    peers_of,
)
from sageturn.lab.scale.job_files import (
    CommonJob,
    EmulatedJob,
    Job,
    LinkJob,
    LinkListener,
    LinkSettings,
    MemberJob,
    RelayJob,
)
from sageturn.lab.scale.plan import ScaleExperiment, Size
from sageturn.lab.scale.units import MS_PER_S
from sageturn.net.json_stream import JsonObject
from sageturn.store.channel import read_secret

Address = tuple[str, int]

LOOPBACK = "127.0.0.1"
SECRET = "scale"  # replication secret of all runs; members listen on loopback only
ALLOWANCE_PER_MEMBER_PER_S = 50.0


class PortReservations:
    """Reservations of ports, which keep other processes from being assigned them until ``close``."""

    def __init__(self) -> None:
        self._sockets: list[socket.socket] = []

    def reserve(self) -> int:
        """Reserve a free loopback port for a listener that sets SO_REUSEADDR, and return it."""
        sock, port = reserve_port()
        self._sockets.append(sock)
        return port

    def close(self) -> None:
        """Release all reserved ports."""
        for sock in self._sockets:
            sock.close()


class JobBuilder:
    """Builder of the child processes of one size, not yet started, with their files in ``folder``.

    The link emulation has one port for each pair of a dialling zone and a member, by which it identifies the
    link; ``_routes`` maps, for each zone, a member's own port to that port.
    """

    def __init__(
        self, experiment: ScaleExperiment, size: Size, rng: Random, folder: Path, ports: PortReservations
    ) -> None:
        self._experiment = experiment
        self._size = size
        self._rng = rng
        self._folder = folder
        self._ports = ports
        self._fleet = Fleet(experiment, size)
        self._processes: list[ChildProcess] = []
        self._member_ports: list[int] = []
        self._routes: list[dict[int, int]] = [{} for _ in range(experiment.zones)]
        self.relay_addresses: list[Address] = []  # addresses at which the whole relays accept clients

    def build(self, discovery: Address, zone_names: Sequence[str]) -> list[ChildProcess]:
        """Return all child processes; call it once. ``zone_names`` are the zones in members' settings."""
        self._member_ports = [self._ports.reserve() for _ in self._fleet.names]
        self._add_link_jobs()
        common = self._common_job(discovery)
        emulated_by_zone: dict[int, list[MemberJob]] = {}
        for member in range(self._size.members):
            zone = self._experiment.zone_of(member)
            job = self._member_job(member, zone_names)
            if self._fleet.is_real(member):
                self._add_relay_job(job, common, zone, discovery)
            else:
                emulated_by_zone.setdefault(zone, []).append(job)
        for zone, jobs in emulated_by_zone.items():
            self._add_emulated_jobs(jobs, common, zone)
        return self._processes

    def _add(self, job: Job) -> None:
        self._processes.append(ChildProcess(job, self._folder, len(self._processes)))

    def _create_counts_file(self, member_count: int) -> str:
        """Create the counter file of the process that is added next, and return its path."""
        counts_file = self._folder / f"counts{len(self._processes)}"
        counting.create_file(counts_file, member_count)
        return str(counts_file)

    # ------------------------------------------------------------ link emulation

    def _add_link_jobs(self) -> None:
        """Add one process for each zone, which emulates all links to the zone's members."""
        experiment = self._experiment
        listeners: list[list[LinkListener]] = [[] for _ in range(experiment.zones)]
        for source_zone in range(experiment.zones):
            for member, member_port in enumerate(self._member_ports):
                target_zone = experiment.zone_of(member)
                port = self._ports.reserve()
                self._routes[source_zone][member_port] = port
                name = link_name(experiment, source_zone, target_zone)
                listeners[target_zone].append(LinkListener(port, member_port, name))
        for zone_listeners in listeners:
            names = sorted({listener.link for listener in zone_listeners})
            links = [self._link(name) for name in names]
            self._add(LinkJob(links, zone_listeners, self._rng.getrandbits(32)))

    def _link(self, name: str) -> LinkSettings:
        links = self._experiment.links
        delays_ms = {
            WITHIN_ZONE: links.zone_ms,
            WITHIN_REGION: links.region_ms,
            BETWEEN_REGIONS: links.between_ms,
        }
        link_class = name.split(":")[0]
        return LinkSettings(name, delays_ms[link_class] / MS_PER_S, links.loss)

    # ------------------------------------------------------------ members

    def _common_job(self, discovery: Address) -> CommonJob:
        return CommonJob(
            secret=read_secret(SECRET).hex(),
            interval_s=self._experiment.interval_s,
            spread=self._size.spread,
            discovery_port=discovery[1],
            key_count=self._size.keys,
            state_s=self._size.state_s,
        )

    def _member_job(self, member: int, zone_names: Sequence[str]) -> MemberJob:
        experiment = self._experiment
        zone = experiment.zone_of(member)
        peers = peers_of(self._size, member, experiment.zones)
        return MemberJob(
            name=self._fleet.names[member],
            zone=f"z{zone}",
            region=f"g{experiment.region_of(zone)}",
            port=self._member_ports[member],
            peers=[self._member_ports[peer] for peer in peers],
            settings=relay_settings(zone, zone_names, self._size.members),
            seed=self._rng.getrandbits(32),
        )

    def _add_emulated_jobs(self, jobs: Sequence[MemberJob], common: CommonJob, zone: int) -> None:
        per_process = self._size.per_process
        for start in range(0, len(jobs), per_process):
            chunk = jobs[start : start + per_process]
            members = [msgspec.structs.replace(job, row=row) for row, job in enumerate(chunk)]
            counts_file = self._create_counts_file(len(members))
            self._add(EmulatedJob(members, common, self._routes[zone], counts_file))

    def _add_relay_job(self, job: MemberJob, common: CommonJob, zone: int, discovery: Address) -> None:
        port = self._ports.reserve()
        self.relay_addresses.append((LOOPBACK, port))
        folder = self._folder / job.name
        folder.mkdir()
        self._add(
            RelayJob(
                members=[job],
                common=common,
                routes=self._routes[zone],
                config_file=_write_relay_config(folder, job, port, discovery),
                operator_file=_write_operator_config(folder),
                counts_file=self._create_counts_file(1),
            )
        )


def _write_relay_config(folder: Path, job: MemberJob, port: int, discovery: Address) -> str:
    """Write a relay's configuration file and return its path."""
    config = {
        "name": job.name,
        "listen": f"{LOOPBACK}:{port}",
        "discovery": "{}:{}".format(*discovery),
        "seed": f"{job.seed:x}",
        "limits": {"sockets": 16384, "memory_mb": 1024},
        "settings": job.settings,
    }
    config_file = folder / "config.json"
    config_file.write_text(json.dumps(config), encoding="utf-8")
    return str(config_file)


def _write_operator_config(folder: Path) -> str:
    """Write a relay's operator file and return its path.

    The file names no peers, because the child process sets up the relay's replication itself, as it does for
    emulated members.
    """
    operator_file = folder / "operator.json"
    operator_file.write_text(json.dumps({"store": {"path": "store"}}), encoding="utf-8")
    return str(operator_file)


def relay_settings(zone: int, zone_names: Sequence[str], member_count: int) -> JsonObject:
    """Return a member's settings under the keys of a relay's settings file."""
    allowance_per_s = ALLOWANCE_PER_MEMBER_PER_S * member_count
    return {
        "accounts": [{"name": "t", "fraction": 1.0, "allowancePerS": allowance_per_s}],
        "classes": [{"name": "c", "aimMs": 1500.0, "hardLimitMs": 3000.0, "semantics": "safe"}],
        "discovery": "ask",
        "groupSize": member_count,
        "zone": f"z{zone}",
        "azs": list(zone_names),
        "guarantees": {
            "fallMs": 3000.0,
            "fallMultiple": 4.0,
            "startCapacity": 0.2,
            "warmWithinMs": 9000.0,
            "mustAskInMs": 10000.0,
        },
        "policyLimits": {"sendCap": 3, "retryAfter": True, "cancel": True, "connectTimeoutMs": 400.0},
    }

"""Plays one size of an experiment under one seed, and measures it.

What is measured where: octets and messages at each member's sockets (``counting``); processor time of each
process from the kernel (``/proc/PID/schedstat``, nanoseconds of its one busy thread), resident memory from
``/proc/PID/statm``. A hollow member's part of its process's processor time is an even part, and for the
busiest member the part that its messages have of the process's messages; of the memory, an even part of
what the process has beyond its state before the first member was made.
"""

from __future__ import annotations

import asyncio
import json
import os
import subprocess
import sys
import time
from collections.abc import Awaitable, Callable, Sequence
from contextlib import suppress
from pathlib import Path
from random import Random
from tempfile import TemporaryDirectory
from typing import Any

import numpy as np

from sageturn.lab.ports import reserve_port
from sageturn.lab.scale import counting
from sageturn.lab.scale.around import Clients, Hosts, ScaleDiscovery
from sageturn.lab.scale.counting import Counts
from sageturn.lab.scale.plan import Fault, ScaleExperiment, Size
from sageturn.store.channel import read_secret

Line = dict[str, Any]
Held = dict[str, dict[str, float]]

FULL = 0.85  # of a core: a process that uses more is held up, and so are its figures
FULL_AT_TIMES = 0.95  # the same within one second of a window
LOOK_S = 1.0
WATCH_S = 0.5
HELD_S = 4.0  # within which a change has to be in force everywhere
SECRET = "scale"  # nobody but this run's members is on its ports
BETWEEN, REGION, ZONE = "between", "region", "zone"


class Overrun(RuntimeError):
    """A bound of the experiment was reached; the run was ended."""


class Process:
    """One child, and what is said with it. It ends when its standard input does."""

    def __init__(self, job: Line, folder: Path, number: int) -> None:
        self.job, self.number = job, number
        self.names = [m["name"] for m in job.get("members", [])]
        self._file = folder / f"job{number}.json"
        self._file.write_text(json.dumps(job), encoding="utf-8")
        self._log = folder / f"log{number}"
        self.child: asyncio.subprocess.Process | None = None
        self._talking = asyncio.Lock()

    async def start(self) -> None:
        with self._log.open("wb") as log:
            env = {k: v for k, v in os.environ.items() if not k.startswith("GW_")}
            self.child = await asyncio.create_subprocess_exec(
                sys.executable,
                "-m",
                "sageturn.lab.scale.process",
                str(self._file),
                stdin=subprocess.PIPE,
                stdout=subprocess.PIPE,
                stderr=log,
                env=env,
                limit=1 << 26,
            )

    async def ready(self) -> None:
        await self._line()

    async def ask(self, **what: Any) -> Any:
        async with self._talking:
            assert self.child is not None and self.child.stdin is not None
            self.child.stdin.write(json.dumps(what).encode() + b"\n")
            await self.child.stdin.drain()
            found = await self._line()
        if isinstance(found, dict) and "error" in found:
            raise RuntimeError(f"{self.job['role']} process: {found['error']}")
        return found

    async def _line(self) -> Any:
        assert self.child is not None and self.child.stdout is not None
        line = await self.child.stdout.readline()
        if not line:
            tail = self._log.read_text(errors="replace")[-600:]
            raise RuntimeError(f"{self.job['role']} process ended: {tail}")
        return json.loads(line)

    @property
    def pid(self) -> int:
        assert self.child is not None
        return self.child.pid

    def cpu_s(self) -> float:
        """On a core since its start, of the main thread; the other one only reads a pipe."""
        return self._schedule(0)

    def waited_s(self) -> float:
        """Ready to run since its start, and no core was free for it."""
        return self._schedule(1)

    def _schedule(self, field: int) -> float:
        with suppress(OSError, IndexError):
            return int(Path(f"/proc/{self.pid}/schedstat").read_text().split()[field]) / 1e9
        return 0.0

    def resident(self) -> int:
        with suppress(OSError, IndexError):
            return int(Path(f"/proc/{self.pid}/statm").read_text().split()[1]) * os.sysconf("SC_PAGESIZE")
        return 0

    def written(self) -> int:
        """Octets that it sent to the disk."""
        with suppress(OSError):
            for line in Path(f"/proc/{self.pid}/io").read_text().splitlines():
                if line.startswith("write_bytes"):
                    return int(line.split()[1])
        return 0

    def descriptors(self) -> int:
        with suppress(OSError):
            return len(os.listdir(f"/proc/{self.pid}/fd"))
        return 0

    async def end(self) -> None:
        """Politely, and after two seconds not."""
        if self.child is None:
            return
        if self.child.stdin is not None:
            self.child.stdin.close()
        with suppress(TimeoutError):
            async with asyncio.timeout(0.2 if self.job["role"] == "lanes" else 2.0):
                await self.child.wait()
        if self.child.returncode is None:
            self.child.kill()
            await self.child.wait()


class Peaks:
    """The most that one process, and that all together, used in any second of a window, in cores."""

    def __init__(self) -> None:
        self.one = self.all = 0.0

    async def look(self, processes: Sequence[Process]) -> None:
        before, at_s = [p.cpu_s() for p in processes], time.monotonic()
        while True:
            await asyncio.sleep(LOOK_S)
            now, now_s = [p.cpu_s() for p in processes], time.monotonic()
            used = [(b - a) / (now_s - at_s) for a, b in zip(before, now, strict=True)]
            self.one, self.all = max(self.one, *used), max(self.all, sum(used))
            before, at_s = now, now_s


def lane_name(experiment: ScaleExperiment, source: int, target: int) -> str:
    """Of zones, both ways the same."""
    low, high = min(source, target), max(source, target)
    same_region = experiment.region(low) == experiment.region(high)
    kind = ZONE if low == high else REGION if same_region else BETWEEN
    return f"{kind}:{low}-{high}"


def peers_of(size: Size, member: int, zones: int) -> list[int]:
    """Whom a member dials, as an operator would have laid it down."""
    if size.topology == "mesh":
        return list(range(member))
    if size.topology == "tree":
        return [(member - 1) // size.fanout] if member else []
    return [other for other in range(min(zones, size.members)) if other != member][:2]


def spans(values: Sequence[float]) -> Line:
    """What counts is the last ones: p50, p99, worst; None for one that never came."""
    if not values:
        return {"n": 0}
    ordered = sorted(values)

    def shown(x: float) -> float | None:
        return None if x == float("inf") else round(float(x), 4)

    return {
        "n": len(ordered),
        "p50": shown(ordered[(len(ordered) - 1) // 2]),
        "p99": shown(ordered[min(len(ordered) - 1, int(np.ceil(0.99 * len(ordered))) - 1)]),
        "worst": shown(ordered[-1]),
        "over_4s": sum(x > 4.0 for x in ordered),
        "never": sum(x == float("inf") for x in ordered),
    }


def _away(spans: Sequence[tuple[float, float]], since_s: float, until_s: float) -> bool:
    """Whether it was down at any moment from ``since_s`` to ``until_s``."""
    return any(start <= until_s and end > since_s for start, end in spans)


class Play:
    """One size, one seed."""

    def __init__(self, experiment: ScaleExperiment, size: Size, seed: int, folder: Path) -> None:
        self.experiment, self.size, self.seed, self.folder = experiment, size, seed, folder
        self.rng = Random(f"{experiment.name}/{size.name}/{seed}")
        self.names = [f"r{n:04d}" for n in range(size.members)]
        # The real ones are spread over the zones as the hollow ones are.
        self.real = set(range(size.real))
        self.hosts = Hosts(experiment.around.hosts, [f"z{z}" for z in range(experiment.zones)])
        self.processes: list[Process] = []
        self.clients: Clients | None = None
        self.peak_memory = 0
        self._reserved: list[Any] = []
        self._changes = 0

    # ------------------------------------------------------------ jobs

    def _port(self) -> int:
        held, port = reserve_port()
        self._reserved.append(held)
        return port

    def _make_jobs(self) -> None:
        x, size = self.experiment, self.size
        ports = [self._port() for _ in self.names]
        routes: list[dict[int, int]] = [{} for _ in range(x.zones)]
        listeners: list[list[Line]] = [[] for _ in range(x.zones)]
        delays = {ZONE: x.lanes.zone_ms, REGION: x.lanes.region_ms, BETWEEN: x.lanes.between_ms}
        for source in range(x.zones):
            for member, to in enumerate(ports):
                name = lane_name(x, source, x.zone(member))
                by = self._port()
                routes[source][to] = by
                listeners[x.zone(member)].append({"port": by, "to": to, "lane": name})
        for zone in range(x.zones):
            names = sorted({entry["lane"] for entry in listeners[zone]})
            lanes = [
                {"name": n, "delay_s": delays[n.split(":")[0]] / 1000.0, "loss": x.lanes.loss} for n in names
            ]
            self._add(
                {
                    "role": "lanes",
                    "lanes": lanes,
                    "listeners": listeners[zone],
                    "seed": self.rng.getrandbits(32),
                }
            )
        whole = {
            "secret": read_secret(SECRET).hex(),
            "interval_s": x.interval_s,
            "spread": size.spread,
            "discovery": self.discovery.address[1],
            "keys": size.keys,
            "state_s": size.state_s,
        }
        by_zone: dict[int, list[Line]] = {}
        for member, name in enumerate(self.names):
            zone = x.zone(member)
            job = {
                "name": name,
                "zone": f"z{zone}",
                "region": f"g{x.region(zone)}",
                "port": ports[member],
                "peers": [ports[peer] for peer in peers_of(size, member, x.zones)],
                "settings": self._settings(member),
                "seed": self.rng.getrandbits(32),
            }
            if member in self.real:
                self._add_real(job, whole, routes[zone], member)
            else:
                by_zone.setdefault(zone, []).append(job)
        for zone, jobs in by_zone.items():
            for at in range(0, len(jobs), size.per_process):
                part = [{**job, "row": row} for row, job in enumerate(jobs[at : at + size.per_process])]
                self._add({"role": "hollow", "members": part, "whole": whole, "routes": routes[zone]})

    def _add(self, job: Line) -> None:
        number = len(self.processes)
        if job["role"] != "lanes":
            file = self.folder / f"counts{number}"
            counting.make(file, len(job["members"]))
            job["counts"] = str(file)
        self.processes.append(Process(job, self.folder, number))

    def _add_real(self, job: Line, whole: Line, routes: dict[int, int], member: int) -> None:
        folder = self.folder / job["name"]
        folder.mkdir()
        held, port = reserve_port()
        self._reserved.append(held)
        config = {
            "name": job["name"],
            "listen": f"127.0.0.1:{port}",
            "discovery": "{}:{}".format(*self.discovery.address),
            "seed": f"{job['seed']:x}",
            "limits": {"sockets": 16384, "memory_mb": 1024},
            "settings": job["settings"],
        }
        operator = {"store": {"path": "store"}}  # its links are made by the lab, as those of hollow members
        for name, what in (("config.json", config), ("operator.json", operator)):
            (folder / name).write_text(json.dumps(what), encoding="utf-8")
        self._real_addresses.append(("127.0.0.1", port))
        self._add(
            {
                "role": "real",
                "members": [{**job, "row": 0}],
                "whole": whole,
                "routes": routes,
                "config": str(folder / "config.json"),
                "operator": str(folder / "operator.json"),
            }
        )

    def _settings(self, member: int) -> Line:
        x = self.experiment
        zone = x.zone(member)
        return {
            "accounts": [{"name": "t", "fraction": 1.0, "allowancePerS": 50.0 * self.size.members}],
            "classes": [{"name": "c", "aimMs": 1500.0, "hardLimitMs": 3000.0, "semantics": "safe"}],
            "discovery": "ask",
            "groupSize": self.size.members,
            "zone": f"z{zone}",
            "azs": self.hosts.zones,
            "guarantees": {
                "fallMs": 3000.0,
                "fallMultiple": 4.0,
                "startCapacity": 0.2,
                "warmWithinMs": 9000.0,
                "mustAskInMs": 10000.0,
            },
            "policyLimits": {"sendCap": 3, "retryAfter": True, "cancel": True, "connectTimeoutMs": 400.0},
        }

    # ------------------------------------------------------------ all of it

    async def run(self) -> Line:
        """Raises Overrun at a bound; whatever happens, no process is left behind."""
        began_s = time.monotonic()
        load = os.getloadavg()[0]
        watching = asyncio.ensure_future(self._watch(began_s))
        playing = asyncio.ensure_future(self._play())
        try:
            await asyncio.wait((watching, playing), return_when=asyncio.FIRST_COMPLETED)
            if watching.done():
                watching.result()
            line = await playing
        finally:
            for task in (watching, playing):
                task.cancel()
            await asyncio.wait((watching, playing))
            await self._end()
        return {
            **line,
            "took_s": round(time.monotonic() - began_s, 1),
            "load_before": round(load, 2),
            "load_after": round(os.getloadavg()[0], 2),
            "memory_peak_mb": round(self.peak_memory / 2**20),
        }

    async def _watch(self, began_s: float) -> None:
        bounds = self.experiment.bounds
        while True:
            memory = sum(p.resident() for p in self.processes if p.child is not None)
            self.peak_memory = max(self.peak_memory, memory)
            if memory > bounds.memory_gb * 2**30:
                raise Overrun(f"memory_gb: {memory / 2**30:.1f} GB in use")
            if time.monotonic() - began_s > bounds.minutes * 60.0:
                raise Overrun(f"minutes: over {bounds.minutes:g}")
            await asyncio.sleep(WATCH_S)

    async def _end(self) -> None:
        if self.clients is not None:
            await self.clients.stop()
        await asyncio.gather(*(p.end() for p in self.processes), return_exceptions=True)
        await self.discovery.stop()
        await self.hosts.stop()
        for held in self._reserved:
            held.close()

    async def _play(self) -> Line:
        x, size, w = self.experiment, self.size, self.experiment.windows
        await self.hosts.start()
        self.discovery = ScaleDiscovery(self.hosts.entries(), x.around.call_ms / 1000.0)
        await self.discovery.start()
        self._real_addresses: list[tuple[str, int]] = []
        self._make_jobs()
        async with asyncio.timeout(w.ready_s):
            for process in self.processes:
                await process.start()
            for process in self.processes:
                await process.ready()
        self.members = [p for p in self.processes if p.names]
        self._started_s = time.monotonic()
        for process in self.members:
            await process.ask(do="start")
        started_s = time.monotonic() - self._started_s
        if self._real_addresses and size.clients:
            self.clients = Clients(self._real_addresses, size.clients, self.seed)
        listed = await self._listed(w.ready_s)
        linked_s = await self._linked(w.ready_s)
        if self.clients is not None:
            self.clients.start()
            await self._stand(w.ready_s)
        await asyncio.sleep(w.settle_s)
        idle = await self._window(self._rest(w.idle_s))
        told = await self._told()
        phases = {"idle": idle, "changes": await self._phase(None)}
        for number, fault in enumerate(size.faults):
            phases[f"{number}:{fault.kind}"] = await self._phase(fault)
        return {
            "members": size.members,
            "keys": size.keys,
            "real": size.real,
            "spread": size.spread,
            "topology": size.topology,
            "state_s": size.state_s,
            "clients_each": size.clients,
            "processes": len(self.processes),
            "started_s": round(started_s, 2),
            "linked_s": linked_s,
            "listed": listed,
            "links": told["links"] / 2,
            "memory": told["memory"],
            "phases": phases,
            "equal": await self._equal(),
            "discovery": self._discovery_told(),
            "clients": self._clients_told(),
        }

    async def _rest(self, seconds: float) -> None:
        """A window in which nothing is done."""
        await asyncio.sleep(seconds)

    async def _listed(self, within_s: float) -> Line:
        """From the start until each member had the list; clients come to a relay that has one."""
        began_s = time.monotonic()
        while True:
            told = [m for part in await self._all(do="told") for m in part["members"].values()]
            if all(m["lists"] for m in told):
                return spans([m["listed_s"] - self._started_s for m in told])
            if time.monotonic() - began_s > within_s:
                missing = sum(not m["lists"] for m in told)
                raise RuntimeError(f"{missing} of {len(told)} members have no list after {within_s:g} s")
            await asyncio.sleep(0.25)

    async def _stand(self, within_s: float) -> None:
        """Until all clients are served, or most of them for that time: what stands is told in the line."""
        assert self.clients is not None
        wanted = self.size.clients * len(self._real_addresses)
        began_s = time.monotonic()
        while self.clients.standing < wanted and time.monotonic() - began_s < within_s:
            await asyncio.sleep(0.1)

    async def _linked(self, within_s: float) -> float | None:
        """Until every link that is laid down stands; None where members choose their own."""
        began_s = time.monotonic()
        if self.size.topology == "seeds":
            return None
        while (stand := (await self._told())["links"] / 2) < self.size.links:
            if time.monotonic() - began_s > within_s:
                raise RuntimeError(f"{stand:g} of {self.size.links} links stand after {within_s:g} s")
            await asyncio.sleep(0.25)
        return round(time.monotonic() - began_s, 2)

    async def _all(self, **what: Any) -> list[Any]:
        return list(await asyncio.gather(*(p.ask(**what) for p in self.members)))

    async def _told(self) -> Line:
        hollow, real, links = [], [], 0
        for process, told in zip(self.members, await self._all(do="told"), strict=True):
            links += sum(max(0, m["links"]) for m in told["members"].values())
            grown = (told["memory"] - told["bare"]) / len(process.names) / 2**20
            if process.job["role"] == "real":
                real.append(told["memory"] / 2**20)
            else:
                hollow.append(grown)
        return {
            "links": links,
            "memory": {
                "hollow_mb_each": round(float(np.mean(hollow)), 3) if hollow else None,
                "real_mb": [round(v, 1) for v in real],
            },
        }

    async def _equal(self) -> Line:
        """All copies the same in the end; waited for up to three intervals."""
        for _ in range(12):
            hashes: dict[str, int] = {}
            for told in await self._all(do="told"):
                for member in told["members"].values():
                    hashes[member["hash"]] = hashes.get(member["hash"], 0) + 1
            if len(hashes) == 1:
                break
            await asyncio.sleep(self.experiment.interval_s / 4.0)
        return {"all": len(hashes) == 1, "kinds": len(hashes), "most": max(hashes.values())}

    # ------------------------------------------------------------ windows

    def _counts(self) -> list[list[Counts]]:
        return [counting.read(Path(p.job["counts"]), len(p.names)) for p in self.members]

    async def _window(self, during: Awaitable[Line | None]) -> Line:
        """What the members used while ``during`` ran, a second and a member."""
        counts, cpu = self._counts(), [p.cpu_s() for p in self.members]
        lane_cpu = [p.cpu_s() for p in self.processes if not p.names]
        waited_s = sum(p.waited_s() for p in self.processes)
        began_s = time.monotonic()
        peaks = Peaks()
        looking = asyncio.ensure_future(peaks.look(self.processes))
        try:
            found = await during
        finally:
            looking.cancel()
        took_s = time.monotonic() - began_s
        after = [
            [new.since(old) for new, old in zip(news, olds, strict=True)]
            for news, olds in zip(self._counts(), counts, strict=True)
        ]
        used = [p.cpu_s() - old for p, old in zip(self.members, cpu, strict=True)]
        lanes_used = [
            p.cpu_s() - old
            for p, old in zip((p for p in self.processes if not p.names), lane_cpu, strict=True)
        ]
        line = measured([p.job["role"] for p in self.members], after, used, took_s)
        line["lanes_core_most"] = round(max(lanes_used) / took_s, 4)
        waited_s = sum(p.waited_s() for p in self.processes) - waited_s
        line["waited"] = round(waited_s / max(1e-9, sum(used) + sum(lanes_used)), 3)
        line["core_peak"], line["cores_peak"] = round(peaks.one, 3), round(peaks.all, 2)
        line["saturated"] = line["saturated"] or peaks.one > FULL_AT_TIMES
        line["disk_octets_real"] = [p.written() for p in self.members if p.job["role"] == "real"]
        line["descriptors_real"] = [p.descriptors() for p in self.members if p.job["role"] == "real"]
        return line | ({"changes": found} if found is not None else {})

    async def _phase(self, fault: Fault | None) -> Line:
        return await self._window(self._changes_during(fault))

    async def _changes_during(self, fault: Fault | None) -> Line:
        w = self.experiment.windows
        lasts_s = w.changes_s if fault is None else fault.length_s + fault.after_s
        moments = sorted(self.rng.uniform(0.0, lasts_s) for _ in range(w.changes))
        came_back: dict[str, float] = {}
        gone: dict[str, list[tuple[float, float]]] = {}
        began_s = time.monotonic()
        striking = asyncio.ensure_future(self._strike(fault, gone, came_back)) if fault else None
        puts: dict[str, tuple[float, str]] = {}
        try:
            for moment in moments:
                await asyncio.sleep(max(0.0, began_s + moment - time.monotonic()))
                key = f"change/{self._changes:05d}"
                self._changes += 1
                now_s = time.monotonic()
                standing = [n for n in self.names if not _away(gone.get(n, []), now_s, now_s)]
                name = standing[self.rng.randrange(len(standing))]
                process = next(p for p in self.members if name in p.names)
                at_s = await process.ask(do="put", member=name, key=key, value={"n": self._changes})
                puts[key] = (at_s, name)
            await asyncio.sleep(max(0.0, began_s + lasts_s - time.monotonic()))
            if striking is not None:
                await striking
        finally:
            if striking is not None and not striking.done():
                striking.cancel()
        await asyncio.sleep(w.tail_s)
        if fault is not None and fault.kind == "discovery":
            listed = await self._listed_since(came_back.pop("discovery"))
        seen, again = await self._seen()
        found = self._arrivals(puts, seen, gone, fault)
        if fault is not None and fault.kind == "discovery":
            found["listed"] = listed
        if came_back:
            found["back"] = spans(self._caught_up(puts, again, came_back))
        return found

    async def _listed_since(self, since_s: float) -> Line:
        """Until each member had the list again, from discovery's return on."""
        told = [m for part in await self._all(do="told") for m in part["members"].values()]
        return spans([m["listed_s"] - since_s if m["listed_s"] > since_s else float("inf") for m in told])

    async def _seen(self) -> tuple[Held, Held]:
        """When each member first held each change, and when its present copy did."""
        first, again = Held(), Held()
        for told in await self._all(do="seen"):
            for name, (held, held_again) in told.items():
                first[name], again[name] = held, held_again
        return first, again

    def _arrivals(
        self,
        puts: dict[str, tuple[float, str]],
        seen: Held,
        gone: dict[str, list[tuple[float, float]]],
        fault: Fault | None,
    ) -> Line:
        """Until a change was held by the last member that stood from before it to 4 s after it."""
        lasts, near = [], []
        side = {n: self.experiment.region(self.experiment.zone(k)) for k, n in enumerate(self.names)}
        for key, (at_s, by) in puts.items():
            stood = [n for n in self.names if not _away(gone.get(n, []), at_s, at_s + HELD_S)]
            took = {n: seen[n].get(key, float("inf")) - at_s for n in stood}
            lasts.append(max(took.values(), default=0.0))
            near.append(max((t for n, t in took.items() if side[n] == side[by]), default=0.0))
        found: Line = {"last": spans(lasts)}
        if fault is not None and fault.kind == "cut":
            found["last_on_its_side"] = spans(near)
        return found

    @staticmethod
    def _caught_up(puts: dict[str, tuple[float, str]], seen: Held, back: dict[str, float]) -> list[float]:
        """Of each member that came back: until it held all that was put while it was away."""
        found = []
        for name, at_s in back.items():
            missed = [seen[name].get(key, float("inf")) - at_s for key, (t, _) in puts.items() if t < at_s]
            if missed:
                found.append(max(0.0, *missed))
        return found

    # ------------------------------------------------------------ faults

    async def _strike(
        self, fault: Fault, gone: dict[str, list[tuple[float, float]]], back: dict[str, float]
    ) -> None:
        match fault.kind:
            case "cut":
                await self._lanes(BETWEEN, cut=True)
                await asyncio.sleep(fault.length_s)
                await self._lanes(BETWEEN, cut=False)
            case "loss":
                await self._lanes("", loss=fault.part)
                await asyncio.sleep(fault.length_s)
                await self._lanes("", loss=self.experiment.lanes.loss)
            case "discovery":
                await self.discovery.stop()
                await asyncio.sleep(fault.length_s)
                await self.discovery.start()
                back["discovery"] = time.monotonic()
            case "restart":
                each_s = fault.length_s / self.size.members
                for name in self.rng.sample(self._hollow(), len(self._hollow())):
                    await self._kill([name], gone)
                    await self._back([name], gone, back, fault.wipe)
                    await asyncio.sleep(each_s)
            case _:
                names = self._targets(fault)
                await self._kill(names, gone)
                await asyncio.sleep(fault.length_s)
                await self._back(names, gone, back, fault.wipe)

    def _hollow(self) -> list[str]:
        return [n for k, n in enumerate(self.names) if k not in self.real]

    def _targets(self, fault: Fault) -> list[str]:
        """Hollow ones only. The first members, whom hand-made trees hang from, are among those killed."""
        hollow = self._hollow()
        if fault.kind == "zone":
            last = self.experiment.zones - 1
            return [n for n in hollow if self.experiment.zone(int(n[1:])) == last]
        count = max(1, round(fault.part * len(hollow)))
        return [hollow[0], *self.rng.sample(hollow[1:], count - 1)]

    async def _kill(self, names: list[str], gone: dict[str, list[tuple[float, float]]]) -> None:
        now_s = time.monotonic()
        for name in names:
            gone.setdefault(name, []).append((now_s, float("inf")))
        await self._to(names, do="stop")

    async def _back(
        self, names: list[str], gone: dict[str, list[tuple[float, float]]], back: dict[str, float], wipe: bool
    ) -> None:
        await self._to(names, do="start", wipe=wipe)
        now_s = time.monotonic()
        for name in names:
            gone[name][-1] = (gone[name][-1][0], now_s)
            back[name] = now_s

    async def _to(self, names: list[str], **what: Any) -> None:
        wanted = set(names)
        parts = [(p, [n for n in p.names if n in wanted]) for p in self.members]
        await asyncio.gather(*(p.ask(members=part, **what) for p, part in parts if part))

    async def _lanes(self, starting: str, **what: Any) -> None:
        lanes = [p for p in self.processes if p.job["role"] == "lanes"]
        await asyncio.gather(*(p.ask(do="change", lanes=starting, **what) for p in lanes))

    # ------------------------------------------------------------ the rest of a line

    def _discovery_told(self) -> Line:
        d = self.discovery
        return {"calls": d.calls, "failed": d.failed, "octets": d.octets, "hosts": self.hosts.count}

    def _clients_told(self) -> Line | None:
        c = self.clients
        if c is None:
            return None
        return {
            "standing": c.standing,
            "opened": c.opened,
            "refused": c.refused,
            "lines": c.lines,
            "broken": c.broken,
        }


def measured(roles: list[str], counts: list[list[Counts]], cpu_s: list[float], took_s: float) -> Line:
    """Pure: a second and a member. Processor time of a process is divided evenly among its hollow members,
    and the busiest is given what its messages are of the process's.
    """
    out: Line = {"took_s": round(took_s, 2), "saturated": any(c / took_s > FULL for c in cpu_s)}
    for role in ("hollow", "real"):
        parts = [(rows, used) for r, rows, used in zip(roles, counts, cpu_s, strict=True) if r == role]
        rows = [row for part, _ in parts for row in part]
        if not rows:
            continue
        busiest = []
        for part, used in parts:
            messages = [
                row.sum("in_messages", "store", "list") + row.sum("out_messages", "store", "list")
                for row in part
            ]
            busiest.append(used * max(messages) / max(1, sum(messages)))
        line: Line = {
            "core": sum(used for _, used in parts) / len(rows) / took_s,
            "core_busiest": max(busiest) / took_s,
        }
        for purpose in counting.PURPOSES:
            for field in counting.FIELDS:
                values = [row.values[purpose][field] / took_s for row in rows]
                if any(values):
                    line[f"{purpose}_{field}"] = float(np.mean(values))
                    line[f"{purpose}_{field}_most"] = max(values)
        control = [
            row.sum("in_octets", "store", "list") + row.sum("out_octets", "store", "list") for row in rows
        ]
        line["octets"] = float(np.mean(control)) / took_s
        line["octets_most"] = max(control) / took_s
        out[role] = {name: round(value, 6 if name.startswith("core") else 1) for name, value in line.items()}
    return out


async def play(experiment: ScaleExperiment, size: Size, seed: int, say: Callable[[str], None]) -> Line:
    """A line for the results; where a bound ended it, the line says so."""
    with TemporaryDirectory(prefix="sageturn-scale-") as folder:
        say(f"{size.name} seed {seed}: {size.members} members, {size.keys} keys, {size.spread}")
        try:
            return await Play(experiment, size, seed, Path(folder)).run()
        except (Overrun, RuntimeError, TimeoutError) as error:
            return {
                "members": size.members,
                "keys": size.keys,
                "spread": size.spread,
                "topology": size.topology,
                "failed": f"{type(error).__name__}: {error}",
            }

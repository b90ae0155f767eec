"""A fleet in simulated time, spread over processes; the result does not depend on how many there are.

Time goes in steps. Within one, every relay meets the hosts as they were at its start; between two, what all
relays did is brought together: loads, intake, who fell over, and the clients that come again. Relays have
random streams of their own and are brought together in their order, so only the spec decides what happens.
"""

from __future__ import annotations

import multiprocessing as mp
from collections.abc import Callable, Iterable, Iterator
from contextlib import contextmanager
from multiprocessing.connection import Connection

from sageturn.lab.environment import (
    SimulatedEnvironment,
    SimulationResult,
    make_hosts,
    server_line,
    starting_homes,
)
from sageturn.lab.faults import ScheduledFault
from sageturn.lab.fleet_spec import FleetSpec
from sageturn.lab.simulated_relay import SimulatedRelay, StepResult
from sageturn.rebalance.options import RebalanceOptions

STEP_S = 0.5


class _Share:
    """Some of the relays, in one process."""

    def __init__(
        self, spec: FleetSpec, numbers: list[int], mover: str, options: RebalanceOptions, policy: str
    ) -> None:
        self.relays = {n: SimulatedRelay(spec, n, mover, options, policy) for n in numbers}
        hosts = make_hosts(spec)
        for n, relay in self.relays.items():
            relay.listed([server_line(h) for h in hosts[: spec.early]])
            homes = starting_homes(spec, hosts, spec.zone(n))
            group, home = "", homes[0]
            for _ in range(spec.connections // spec.relays):
                client = relay.draws.client()
                if not client.group or client.group != group:
                    home = homes[relay.draws.below(len(homes))]
                group = client.group or group
                relay.stands(client, home.name)

    def step(self, order: tuple) -> dict[int, StepResult]:  # type: ignore[type-arg]
        until_s, met, returns, orders = order
        results = {}
        for n, relay in self.relays.items():
            for told in orders:
                relay.obey(told)
            for due_s, client in returns.get(n, ()):
                relay.arrive(due_s, client)
            results[n] = relay.step(until_s, met)
        return results

    def states(self) -> dict[int, dict[str, object]]:
        return {n: relay.state() for n, relay in self.relays.items()}


def _work(
    pipe: Connection, spec: FleetSpec, numbers: list[int], mover: str, options: RebalanceOptions, policy: str
) -> None:
    share = _Share(spec, numbers, mover, options, policy)
    while (order := pipe.recv()) is not None:
        pipe.send(share.step(order))
    pipe.send(share.states())


@contextmanager
def _workers(
    spec: FleetSpec, mover: str, options: RebalanceOptions, policy: str, processes: int
) -> Iterator[list[tuple[Connection, list[int]]]]:
    context = mp.get_context("spawn")
    running, pipes = [], []
    for k in range(processes):
        numbers = list(range(k, spec.relays, processes))
        ours, theirs = context.Pipe()
        process = context.Process(target=_work, args=(theirs, spec, numbers, mover, options, policy))
        process.start()
        running.append(process)
        pipes.append((ours, numbers))
    try:
        yield pipes
    finally:
        for process in running:
            process.join(5.0)
            if process.is_alive():
                process.kill()


def simulate(
    spec: FleetSpec,
    mover: str,
    options: RebalanceOptions,
    seconds: float,
    processes: int = 1,
    progress: Callable[[float, SimulationResult], None] | None = None,
    troubles: Iterable[ScheduledFault] = (),
    policy: str = "",
) -> SimulationResult:
    """Plays ``seconds`` of the spec with ``mover`` off, naive or on, and with ``policy``'s text."""
    world = SimulatedEnvironment(spec, troubles, STEP_S)
    if processes <= 1:
        share = _Share(spec, list(range(spec.relays)), mover, options, policy)
        while world.now_s < seconds:
            met, returns, orders = world.begin()
            world.end(share.step((world.now_s + STEP_S, met, returns, orders)))
            _tell(world, progress)
        world.series.states = share.states()
        return world.finish()
    with _workers(spec, mover, options, policy, processes) as pipes:
        while world.now_s < seconds:
            met, returns, orders = world.begin()
            for pipe, numbers in pipes:
                mine = {n: returns[n] for n in numbers if n in returns}
                pipe.send((world.now_s + STEP_S, met, mine, orders))
            results: dict[int, StepResult] = {}
            for pipe, _ in pipes:
                results.update(pipe.recv())
            world.end(results)
            _tell(world, progress)
        for pipe, _ in pipes:
            pipe.send(None)
        for pipe, _ in pipes:
            world.series.states.update(pipe.recv())
    return world.finish()


def _tell(world: SimulatedEnvironment, progress: Callable[[float, SimulationResult], None] | None) -> None:
    if progress is not None and world.now_s == int(world.now_s):
        progress(world.now_s, world.series)

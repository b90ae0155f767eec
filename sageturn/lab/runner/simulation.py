"""Simulates a fleet over several processes; the result does not depend on their number.

Time advances in steps. Within a step each relay sees the hosts as they were at its start; between two steps
the environment merges what all relays did: loads, intake, crashes, and the clients that connect again. Relays
have random streams of their own and are merged in the order of their numbers, so that only the fleet and its
seed decide what happens.
"""

from __future__ import annotations

import multiprocessing
from collections.abc import Callable, Iterable, Iterator
from contextlib import contextmanager
from dataclasses import dataclass
from multiprocessing.connection import Connection
from typing import Protocol

from sageturn.lab.faults.fault import ScheduledFault
from sageturn.lab.model.fleet import InitialPlacement, describe_endpoint, make_hosts
from sageturn.lab.model.fleet_spec import FleetSpec
from sageturn.lab.model.planner_kind import PlannerKind
from sageturn.lab.model.simulated_relay import SimulatedRelay
from sageturn.lab.model.simulation_result import SimulationResult
from sageturn.lab.model.simulation_steps import StepInput, StepResult
from sageturn.lab.runner.environment import SimulatedEnvironment
from sageturn.rebalance.options import RebalanceOptions

STEP_S = 0.5
WORKER_EXIT_TIMEOUT_S = 5.0

OnSecond = Callable[[float, SimulationResult], None]
StepResults = dict[int, StepResult]
PlannerStates = dict[int, dict[str, object]]


@dataclass(frozen=True, slots=True)
class RelayVariant:
    """The planner, its options and the decision module of all relays of a run."""

    planner: PlannerKind
    options: RebalanceOptions
    policy: str = ""  # text of a decision module; empty for that of this revision


class RelayShard:
    """The relays of one process."""

    def __init__(self, spec: FleetSpec, numbers: list[int], variant: RelayVariant) -> None:
        self.relays = {
            number: SimulatedRelay(spec, number, variant.planner, variant.options, variant.policy)
            for number in numbers
        }
        hosts = make_hosts(spec)
        initial_endpoints = [describe_endpoint(host) for host in hosts[: spec.initial_hosts]]
        for number, relay in self.relays.items():
            relay.update_endpoints(initial_endpoints)
            placement = InitialPlacement(spec, hosts)
            for _ in range(spec.connections // spec.relays):
                client = relay.sampler.client()
                relay.adopt_connection(client, placement.place(client, spec.zone(number), relay.sampler))

    def step(self, step_input: StepInput) -> StepResults:
        """Steps all relays, and returns their results."""
        results = {}
        for number, relay in self.relays.items():
            for instruction in step_input.instructions:
                relay.follow_instruction(instruction)
            for due_s, client in step_input.reconnects.get(number, ()):
                relay.schedule_request(due_s, client)
            results[number] = relay.step(step_input.until_s, step_input.conditions)
        return results

    def planner_states(self) -> PlannerStates:
        """Returns the planners' states by relay."""
        return {number: relay.planner_state() for number, relay in self.relays.items()}


class RelayExecutor(Protocol):
    """Steps all relays of a fleet."""

    def step(self, step_input: StepInput) -> StepResults:
        """Steps all relays, and returns their results."""

    def planner_states(self) -> PlannerStates:
        """Returns the planners' states by relay; no step may follow."""


@dataclass(frozen=True, slots=True)
class _Worker:
    pipe: Connection
    relays: list[int]


class WorkerPool:
    """Steps the relays in several processes, each with a shard of them."""

    def __init__(self, workers: list[_Worker]) -> None:
        self._workers = workers

    def step(self, step_input: StepInput) -> StepResults:
        """Steps all relays, each process with the reconnects of its own relays."""
        for worker in self._workers:
            reconnects = {
                number: step_input.reconnects[number]
                for number in worker.relays
                if number in step_input.reconnects
            }
            worker.pipe.send(
                StepInput(step_input.until_s, step_input.conditions, reconnects, step_input.instructions)
            )
        results: StepResults = {}
        for worker in self._workers:
            results.update(worker.pipe.recv())
        return results

    def planner_states(self) -> PlannerStates:
        """Ends the processes. Returns their planners' states by relay."""
        for worker in self._workers:
            worker.pipe.send(None)
        states: PlannerStates = {}
        for worker in self._workers:
            states.update(worker.pipe.recv())
        return states


def _run_worker(pipe: Connection, spec: FleetSpec, numbers: list[int], variant: RelayVariant) -> None:
    shard = RelayShard(spec, numbers, variant)
    while (step_input := pipe.recv()) is not None:
        pipe.send(shard.step(step_input))
    pipe.send(shard.planner_states())


@contextmanager
def _worker_pool(spec: FleetSpec, variant: RelayVariant, process_count: int) -> Iterator[WorkerPool]:
    context = multiprocessing.get_context("spawn")
    processes = []
    workers = []
    for index in range(process_count):
        numbers = list(range(index, spec.relays, process_count))
        pipe, worker_pipe = context.Pipe()
        process = context.Process(target=_run_worker, args=(worker_pipe, spec, numbers, variant))
        process.start()
        processes.append(process)
        workers.append(_Worker(pipe, numbers))
    try:
        yield WorkerPool(workers)
    finally:
        for process in processes:
            process.join(WORKER_EXIT_TIMEOUT_S)
            if process.is_alive():
                process.kill()


def simulate(
    spec: FleetSpec,
    variant: RelayVariant,
    seconds: float,
    *,
    faults: Iterable[ScheduledFault] = (),
    processes: int = 1,
    on_second: OnSecond | None = None,
) -> SimulationResult:
    """Simulates ``seconds`` of a fleet with its scheduled faults.

    ``on_second`` is called each simulated second.
    """
    environment = SimulatedEnvironment(spec, faults, STEP_S)
    if processes <= 1:
        shard = RelayShard(spec, list(range(spec.relays)), variant)
        return _run(environment, shard, seconds, on_second)
    with _worker_pool(spec, variant, processes) as pool:
        return _run(environment, pool, seconds, on_second)


def _run(
    environment: SimulatedEnvironment, relays: RelayExecutor, seconds: float, on_second: OnSecond | None
) -> SimulationResult:
    while environment.now_s < seconds:
        environment.finish_step(relays.step(environment.start_step()))
        if on_second is not None and environment.now_s == int(environment.now_s):
            on_second(environment.now_s, environment.result)
    environment.result.planner_states = relays.planner_states()
    return environment.finish()

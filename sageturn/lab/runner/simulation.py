"""Simulation of a fleet over several processes; the result does not depend on their number.

Time advances in steps. Within a step each relay sees the state of the endpoints at its start; between two
steps the environment merges the results of all relays: loads, intake, crashes, and clients that reconnect.
Each relay has its own random stream, and results are merged in the order of the relays' numbers, so that the
result depends only on the fleet and its seed.
"""

from __future__ import annotations

import multiprocessing
from collections.abc import Callable, Iterable, Iterator
from contextlib import contextmanager
from dataclasses import dataclass
from multiprocessing.connection import Connection
from typing import Protocol

from sageturn.lab.faults.fault import ScheduledFault
from sageturn.lab.model.fleet import InitialPlacement, make_endpoints, make_list_entry
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
    """Planner, its options and decision module of all relays of a run."""

    planner: PlannerKind
    options: RebalanceOptions
    policy: str = ""  # text of a decision module; empty for that of this revision


class RelayShard:
    """Relays of one process."""

    def __init__(self, spec: FleetSpec, numbers: list[int], variant: RelayVariant) -> None:
        self.relays = {
            number: SimulatedRelay(spec, number, variant.planner, variant.options, variant.policy)
            for number in numbers
        }
        endpoints = make_endpoints(spec)
        initial_entries = [make_list_entry(endpoint) for endpoint in endpoints[: spec.initial_endpoints]]
        for number, relay in self.relays.items():
            relay.update_endpoints(initial_entries)
            placement = InitialPlacement(spec, endpoints)
            for _ in range(spec.connections // spec.relays):
                client = relay.sampler.client()
                relay.adopt_connection(client, placement.place(client, spec.zone(number), relay.sampler))

    def step(self, step_input: StepInput) -> StepResults:
        """Run a step of all relays. Return their results."""
        results = {}
        for number, relay in self.relays.items():
            for instruction in step_input.instructions:
                relay.execute_instruction(instruction)
            for due_s, client in step_input.reconnects.get(number, ()):
                relay.schedule_request(due_s, client)
            results[number] = relay.step(step_input.until_s, step_input.conditions)
        return results

    def planner_states(self) -> PlannerStates:
        """Return the planners' states by relay."""
        return {number: relay.planner_state() for number, relay in self.relays.items()}


class RelayExecutor(Protocol):
    """Interface for running the steps of all relays of a fleet."""

    def step(self, step_input: StepInput) -> StepResults:
        """Run a step of all relays. Return their results."""

    def planner_states(self) -> PlannerStates:
        """Return the planners' states by relay; ``step`` must not be called afterwards."""


@dataclass(frozen=True, slots=True)
class _Worker:
    pipe: Connection
    relays: list[int]


class WorkerPool:
    """Pool of worker processes, each of which runs a shard of the relays."""

    def __init__(self, workers: list[_Worker]) -> None:
        self._workers = workers

    def step(self, step_input: StepInput) -> StepResults:
        """Run a step of all relays; each process gets only the reconnects of its own relays."""
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
        """End the processes. Return their planners' states by relay."""
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
    """Simulate ``seconds`` of a fleet with its scheduled faults.

    ``on_second`` is called after each simulated second with the time and the result so far.
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

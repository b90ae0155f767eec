"""Generator of a run's plan: endpoints, and faults with their times, drawn from a seed alone.

Times are seconds after the run's start, on the monotonic clock that all processes of a machine share.
"""

from __future__ import annotations

from collections.abc import Sequence
from enum import StrEnum
from random import Random

import msgspec

from sageturn.decision import Effect
from sageturn.net.json_stream import JsonObject

DURATION_S = 14.0
ENDPOINTS_PER_HOST = 2
DRAIN_NOTICE_S = 2.5  # time between the beginning of an endpoint's drain and its exit
RESTART_PAUSE_S = 0.8  # time between an endpoint's crash and its next start
SUSPENSION_S = 0.12  # duration of a relay's suspension by SIGSTOP
STORM_FAULT_COUNT = 3
# The effect of a repeated request is drawn from these; half of the plans have safe requests.
EFFECTS = (Effect.SAFE, Effect.SAFE, Effect.KEYED, Effect.UNSAFE)
HOUR_S = 3600.0
CLOCK_STEPS_S = (-HOUR_S, -5.0, 5.0, HOUR_S)
CLOCK_STEPS_PER_RELAY = 3  # steps of a series while the relay runs
SERIES_SPAN_S = (2.0, 11.0)  # earliest and latest start of a signal series or a clock step
BEFORE_START_S = -60.0  # time of a clock step that precedes the relay's start
NEVER_S = 1e9  # substitute for infinity, which JSON cannot encode
SLOW_START_WINDOW_S = 2.0  # window of the attempt budget of an endpoint in slow start
WARM_UP_S = 5.0  # duration of the slow start
START_CAPACITY = 0.08  # fraction of the full capacity at the beginning of the slow start
FALL_MULTIPLE = 2.0  # factor of the slow start's budget
DRAIN_GRACE_S = 0.3  # time past a drain's notification in which attempts may still begin
MAX_ATTEMPTS = 3
REQUEST_TIMEOUTS_S = (0.3, 0.8, 2.0, 2.0)  # a plan's timeout is drawn from these
LATENCY_OBJECTIVE_RATIO = 0.45  # latency objective over the request timeout
KILL_AFTER_TIMEOUT_S = 0.7  # shortest time from the request timeout after SIGTERM to SIGKILL
MAX_COUNTED_TIMEOUT_S = 3.0  # a longer request timeout delays SIGKILL no further
ADOPTED_PER_RELAY = 2  # clients of each relay whose connections were open before its start
CROWD_RATIO = 0.25  # ratio of plans with a crowd of idle clients
CROWD_DURATION_S = 1.5
CROWD_START_S = (1.0, 8.0)
KEY_TTL_S = 1.5
HEALTH_CHECK_PRICE = 0.01  # cost of a health check, as a fraction of a request's
CHANGE_DELAY_S = 0.2  # time between a change of an endpoint and its publication by discovery
QUOTA_S = 6.0  # ratio of the tenant's connection quota to its requests per second


class EndpointMode(StrEnum):
    """Faulty behaviour of an endpoint towards new connections."""

    HANG = "hang"  # reads the request, and never answers
    RESET = "reset"  # resets the connection once the request is complete
    GARBLE = "garble"  # sends an invalid answer
    BUSY = "busy"
    SLOW = "slow"  # delays the answer by up to a second


class FaultKind(StrEnum):
    """Kind of a fault."""

    RELAY_RESTART = "relay_restart"  # SIGTERM, and a new process once it has exited
    RELAY_KILL = "relay_kill"  # SIGKILL, and a new process
    RELAY_RELOAD = "relay_reload"  # SIGHUP, with another discovery address
    RELAY_BAD_RELOAD = "relay_bad_reload"  # SIGHUP, with an invalid configuration file
    RELAY_HOLD = "relay_hold"  # SIGSTOP and SIGCONT
    RELAY_DESCRIPTORS = "relay_descriptors"  # a lowered limit of open file descriptors
    ACCEPT_ERRORS = "accept_errors"
    CONNECT_ERRORS = "connect_errors"
    SHORT_IO = "short_io"  # reads and writes of a few bytes
    DISK_ERRORS = "disk_errors"
    CLOCK_STEP = "clock_step"  # a step of the wall clock on all machines
    ENDPOINT_DRAIN = "endpoint_drain"
    ENDPOINT_CRASH = "endpoint_crash"
    ENDPOINT_MODE = "endpoint_mode"
    DISCOVERY_DOWN = "discovery_down"
    DISCOVERY_SILENT = "discovery_silent"
    DISCOVERY_PIECES = "discovery_pieces"
    CLIENT_BURST = "client_burst"
    CLIENT_FAULTS = "client_faults"
    RELAY_SIGNALS = "relay_signals"  # several signals in quick succession
    RELAY_CLOCK = "relay_clock"  # a step of one relay's wall clock; the first precedes its start
    CLIENT_CROWD = "client_crowd"  # more idle clients than a relay may keep, which send nothing


class SignalSeries(StrEnum):
    """Signals that a relay receives in quick succession."""

    RELOADS = "reloads"  # SIGHUP, several times
    RELOAD_AND_STOP = "reload_and_stop"  # SIGHUP, followed at once by SIGTERM
    STOP_TWICE = "stop_twice"  # SIGTERM, and a second one while the relay drains


# Plans have faults of these kinds in addition to their storms. Separate random generators draw them, so
# that they do not change the storms of a seed.
SERIES_KINDS = (FaultKind.RELAY_SIGNALS, FaultKind.RELAY_CLOCK, FaultKind.CLIENT_CROWD)
STORM_KINDS = tuple(kind for kind in FaultKind if kind not in SERIES_KINDS)

SHIMMED_FAULT_KINDS = (
    FaultKind.ACCEPT_ERRORS,
    FaultKind.CONNECT_ERRORS,
    FaultKind.SHORT_IO,
    FaultKind.DISK_ERRORS,
    FaultKind.CLOCK_STEP,
    FaultKind.RELAY_CLOCK,
)


class ScheduledFault(msgspec.Struct, frozen=True):
    """One fault. ``target`` is the index of the affected relay or endpoint; -1 if not limited to one."""

    kind: FaultKind = msgspec.field(name="trouble")
    begin_s: float
    end_s: float
    target: int = -1
    value: float = 0.0
    mode: str = ""  # an EndpointMode or a SignalSeries, for ENDPOINT_MODE or RELAY_SIGNALS

    def is_active(self, at_s: float) -> bool:
        """Return whether the fault is in effect ``at_s`` seconds after the run's start."""
        return self.begin_s <= at_s < self.end_s


class EndpointIncarnation(msgspec.Struct, frozen=True):
    """One process of an endpoint, from its start to its end."""

    name: str
    host: int  # index of the soak's host process that runs the endpoint
    start_s: float
    drain_s: float  # start of the drain; NEVER_S if the endpoint does not drain
    end_s: float  # NEVER_S if the endpoint outlives the run
    is_crash: bool = False  # True if the process ends without a drain
    port: int = 0


class SoakSize(msgspec.Struct, frozen=True):
    """Number of processes and rate of requests of a run."""

    relays: int = 16
    hosts: int = 12
    requests_per_s: float = 200.0

    @property
    def endpoints(self) -> int:
        """Number of endpoints in the list, without those that are being replaced."""
        return self.hosts * ENDPOINTS_PER_HOST


class Variant(StrEnum):
    """A deviation from the default deployment."""

    # A local agent pushes the lists; a relay has to obey a change as soon as the agent has it.
    PUSHED_LISTS = "pushed_lists"
    HEALTH_CHECKS = "health_checks"  # relays request load reports from endpoints


class SoakPlan(msgspec.Struct):
    """The endpoints and faults of one run."""

    seed: int
    size: SoakSize
    effect: Effect  # effect of repeating a request of the only class
    variants: tuple[Variant, ...] = ()
    started_s: float = 0.0  # start of the run on the monotonic clock
    request_timeout_s: float = max(REQUEST_TIMEOUTS_S)  # time that a client waits for its answer
    faults: list[ScheduledFault] = msgspec.field(default_factory=list, name="incidents")
    incarnations: list[EndpointIncarnation] = msgspec.field(default_factory=list, name="lives")

    @property
    def is_pushed(self) -> bool:
        """True if an agent on the relay's machine pushes the endpoint lists."""
        return Variant.PUSHED_LISTS in self.variants

    @property
    def kill_after_s(self) -> float:
        """Shortest time from the platform's SIGTERM to its SIGKILL."""
        return min(self.request_timeout_s, MAX_COUNTED_TIMEOUT_S) + KILL_AFTER_TIMEOUT_S

    def faults_of(self, *kinds: FaultKind) -> list[ScheduledFault]:
        """Return the faults of these kinds, ordered by start time."""
        return [fault for fault in self.faults if fault.kind in kinds]

    def reloads(self) -> list[ScheduledFault]:
        """Return the faults that send a relay SIGHUP with another discovery address, by start time."""
        faults = self.faults_of(FaultKind.RELAY_RELOAD, FaultKind.RELAY_SIGNALS)
        return [fault for fault in faults if fault.mode != SignalSeries.STOP_TWICE]

    def wall_clock_offset_s(self, at_s: float) -> float:
        """Return the seconds by which the wall clock is ahead ``at_s`` seconds after the run's start."""
        return sum(step.value for step in self.faults_of(FaultKind.CLOCK_STEP) if at_s >= step.begin_s)


def relay_settings(plan: SoakPlan, relay: int) -> JsonObject:
    """Return the settings of a relay, with the keys of the platform's configuration."""
    quota = plan.size.requests_per_s * QUOTA_S
    one_class = {
        "name": "c",
        "aimMs": plan.request_timeout_s * LATENCY_OBJECTIVE_RATIO * 1000.0,
        "hardLimitMs": plan.request_timeout_s * 1000.0,
        "semantics": plan.effect,
        "dedupScope": "all",
        "keyTtlMs": KEY_TTL_S * 1000.0,
    }
    return {
        "accounts": [{"name": "t", "fraction": 1.0, "allowancePerS": plan.size.requests_per_s}],
        "classes": [one_class],
        "discovery": "push" if plan.is_pushed else "ask",
        "familyInfo": {"tellsDelay": False, "tellsLoad": True, "tenantQuotaConnections": [quota]},
        "groupSize": plan.size.relays,
        "guarantees": {
            "fallMs": SLOW_START_WINDOW_S * 1000.0,
            "fallMultiple": FALL_MULTIPLE,
            "mustAskInMs": 8000.0,
            "startCapacity": START_CAPACITY,
            "stopSendingWithinMs": DRAIN_GRACE_S * 1000.0,
            "warmWithinMs": WARM_UP_S * 1000.0,
        },
        "me": relay,
        "policyLimits": {
            "sendCap": MAX_ATTEMPTS,
            "retryAfter": True,
            "cancel": True,
            "connectTimeoutMs": 300.0,
            "probes": Variant.HEALTH_CHECKS in plan.variants,
        },
        "prices": {"probe": HEALTH_CHECK_PRICE},
        "report": {"source": "probe", "fields": ["x0", "x1"]},
    }


class PlanGenerator:
    """Generator of a plan: two storms of overlapping faults, and a few single faults besides."""

    def __init__(
        self, seed: int, size: SoakSize, storm: Sequence[FaultKind], variants: Sequence[Variant]
    ) -> None:
        self._rng = Random(seed)
        self._storm = storm
        effect = self._rng.choice(EFFECTS)
        self._plan = SoakPlan(seed, size, effect, tuple(variants))
        self._latest_incarnations: dict[int, EndpointIncarnation] = {}  # keys are endpoint indexes
        self._next_endpoint_number = size.endpoints

    def generate(self) -> SoakPlan:
        """Return the plan."""
        size = self._plan.size
        for endpoint_index in range(size.endpoints):
            incarnation = EndpointIncarnation(
                f"s{endpoint_index}", endpoint_index // ENDPOINTS_PER_HOST, -60.0, NEVER_S, NEVER_S
            )
            self._latest_incarnations[endpoint_index] = incarnation
        for storm_begin_s in (self._rng.uniform(2.5, 4.0), self._rng.uniform(7.0, 8.5)):
            for kind in self._storm or self._rng.sample(STORM_KINDS, STORM_FAULT_COUNT):
                self._add_faults(kind, storm_begin_s + self._rng.uniform(0.0, 1.0))
        self._add_faults(FaultKind.CLIENT_FAULTS, 0.5)
        self._add_faults(self._rng.choice([FaultKind.ENDPOINT_DRAIN, FaultKind.ENDPOINT_CRASH]), 5.5)
        self._add_series(Random(f"{self._plan.seed}/series"))
        self._draw_clients(Random(f"{self._plan.seed}/clients"))
        self._plan.incarnations += self._latest_incarnations.values()
        self._plan.faults.sort(key=lambda fault: fault.begin_s)
        return self._plan

    def _add_series(self, rng: Random) -> None:
        """Add signal series for some relays, and clock-step series for an independent sample of relays."""
        relays = range(self._plan.size.relays)
        count = max(1, len(relays) // 4)
        for relay in rng.sample(relays, count):
            at_s = rng.uniform(*SERIES_SPAN_S)
            mode = rng.choice(list(SignalSeries)).value
            self._append_fault(ScheduledFault(FaultKind.RELAY_SIGNALS, at_s, at_s + 1.0, relay, mode=mode))
        for relay in rng.sample(relays, count):
            instants_s = [
                BEFORE_START_S,
                *(rng.uniform(*SERIES_SPAN_S) for _ in range(CLOCK_STEPS_PER_RELAY)),
            ]
            for at_s in instants_s:
                step_s = rng.choice(CLOCK_STEPS_S)
                self._append_fault(ScheduledFault(FaultKind.RELAY_CLOCK, at_s, NEVER_S, relay, step_s))

    def _draw_clients(self, rng: Random) -> None:
        """Draw how long clients wait for their answers, and whether a crowd of idle ones comes."""
        self._plan.request_timeout_s = rng.choice(REQUEST_TIMEOUTS_S)
        if rng.random() >= CROWD_RATIO:
            return
        begin_s = rng.uniform(*CROWD_START_S)
        relays = range(self._plan.size.relays)
        for relay in rng.sample(relays, max(1, len(relays) // 4)):
            end_s = begin_s + CROWD_DURATION_S
            self._append_fault(ScheduledFault(FaultKind.CLIENT_CROWD, begin_s, end_s, relay))

    def _add_faults(self, kind: FaultKind, at_s: float) -> None:
        rng = self._rng
        size = self._plan.size
        length_s = rng.uniform(0.5, 2.5)
        if kind in SERIES_KINDS:
            return  # drawn by _add_series and _draw_clients
        if kind in (FaultKind.ENDPOINT_DRAIN, FaultKind.ENDPOINT_CRASH):
            for endpoint_index in rng.sample(
                range(size.endpoints), max(1, size.endpoints // rng.choice([3, 6]))
            ):
                self._end_incarnation(endpoint_index, at_s + rng.uniform(0.0, 0.5), kind)
        elif kind is FaultKind.ENDPOINT_MODE:
            for endpoint_index in rng.sample(range(size.endpoints), max(1, size.endpoints // 5)):
                mode = rng.choice(list(EndpointMode)).value
                self._append_fault(ScheduledFault(kind, at_s, at_s + length_s, endpoint_index, mode=mode))
        elif kind is FaultKind.CLOCK_STEP:
            step_s = rng.choice(CLOCK_STEPS_S)
            self._append_fault(ScheduledFault(kind, at_s, NEVER_S, value=step_s))
        elif kind.value.startswith(("relay", "accept", "connect", "short", "disk")):
            self._add_relay_fault(kind, at_s, length_s)
        else:
            self._append_fault(ScheduledFault(kind, at_s, at_s + length_s))

    def _add_relay_fault(self, kind: FaultKind, at_s: float, length_s: float) -> None:
        size = self._plan.size
        is_process_end = kind in (FaultKind.RELAY_RESTART, FaultKind.RELAY_KILL)
        count = max(1, size.relays // (4 if is_process_end else 2))
        for relay in self._rng.sample(range(size.relays), count):
            begin_s = at_s + self._rng.uniform(0.0, 0.6)
            is_suspension = kind is FaultKind.RELAY_HOLD
            self._append_fault(
                ScheduledFault(kind, begin_s, begin_s + (SUSPENSION_S if is_suspension else length_s), relay)
            )

    def _end_incarnation(self, endpoint_index: int, at_s: float, kind: FaultKind) -> None:
        incarnation = self._latest_incarnations[endpoint_index]
        if incarnation.drain_s < NEVER_S or incarnation.end_s < NEVER_S or at_s < incarnation.start_s + 1.0:
            return
        is_crash = kind is FaultKind.ENDPOINT_CRASH
        drain_s = NEVER_S if is_crash else at_s
        end_s = at_s if is_crash else at_s + DRAIN_NOTICE_S
        self._plan.incarnations.append(
            EndpointIncarnation(
                incarnation.name, incarnation.host, incarnation.start_s, drain_s, end_s, is_crash
            )
        )
        # A crashed endpoint restarts under the same name; a drained one is replaced by a new endpoint.
        name = incarnation.name if is_crash else f"s{self._next_endpoint_number}"
        self._next_endpoint_number += 1
        start_s = at_s + RESTART_PAUSE_S * (1.0 if is_crash else self._rng.random())
        self._latest_incarnations[endpoint_index] = EndpointIncarnation(
            name, incarnation.host, start_s, NEVER_S, NEVER_S
        )
        self._append_fault(ScheduledFault(kind, at_s, end_s, endpoint_index))

    def _append_fault(self, fault: ScheduledFault) -> None:
        self._plan.faults.append(fault)


def draw_plan(
    seed: int, size: SoakSize, storm: Sequence[FaultKind] = (), variants: Sequence[Variant] = ()
) -> SoakPlan:
    """Return the plan of a seed; the same arguments give the same plan.

    Args:
        seed: The seed of all random draws.
        size: The number of processes and the rate of requests.
        storm: The fault kinds of each storm; if empty, they are drawn.
        variants: Deviations from the default deployment; they do not affect the draws.
    """
    return PlanGenerator(seed, size, storm, variants).generate()

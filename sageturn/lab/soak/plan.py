"""The plan of one run: its endpoints, and its faults with their times, drawn from a seed alone.

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
DRAIN_NOTICE_S = 2.5  # from the beginning of an endpoint's drain to its end
RESTART_PAUSE_S = 0.8  # between an endpoint's crash and its next start
HOLD_S = 0.12  # length of a relay's suspension
STORM_FAULT_COUNT = 3
EFFECTS = (Effect.SAFE, Effect.SAFE, Effect.KEYED, Effect.UNSAFE)  # drawn from; half of the plans are safe
HOUR_S = 3600.0
CLOCK_STEPS_S = (-HOUR_S, -5.0, 5.0, HOUR_S)
CLOCK_STEPS_PER_RELAY = 3  # while it runs, in a series
SERIES_SPAN_S = (2.0, 11.0)  # in which series begin
BEFORE_START_S = -60.0
NEVER_S = 1e9  # stands for infinity, which JSON does not have
SLOW_START_WINDOW_S = 2.0  # in which the attempts at an endpoint in slow start are limited
WARM_UP_S = 5.0  # length of the slow start
START_CAPACITY = 0.08  # ratio of the capacity at the beginning of the slow start
FALL_MULTIPLE = 2.0
DRAIN_GRACE_S = 0.3
MAX_ATTEMPTS = 3
REQUEST_TIMEOUT_S = 2.0
KEY_TTL_S = 1.5
HEALTH_CHECK_PRICE = 0.01  # of a request
CHANGE_DELAY_S = 0.2  # between a change of an endpoint and its publication by discovery
QUOTA_S = 6.0  # the tenant's connection quota over its requests per second


class EndpointMode(StrEnum):
    """A faulty treatment of new connections by an endpoint."""

    HANG = "hang"  # takes the request, and answers nothing
    RESET = "reset"  # resets the connection once it has the request
    GARBLE = "garble"  # answers what is no answer
    BUSY = "busy"
    SLOW = "slow"  # answers after up to a second


class FaultKind(StrEnum):
    """The kind of a fault."""

    RELAY_RESTART = "relay_restart"  # SIGTERM, and a new process once it has exited
    RELAY_KILL = "relay_kill"  # SIGKILL, and a new process
    RELAY_RELOAD = "relay_reload"  # SIGHUP, to another discovery
    RELAY_BAD_RELOAD = "relay_bad_reload"  # SIGHUP, with a file that is no configuration
    RELAY_HOLD = "relay_hold"  # SIGSTOP and SIGCONT
    RELAY_DESCRIPTORS = "relay_descriptors"  # its limit of descriptors is lowered
    ACCEPT_ERRORS = "accept_errors"
    CONNECT_ERRORS = "connect_errors"
    SHORT_IO = "short_io"  # reads and writes of a few bytes
    DISK_ERRORS = "disk_errors"
    CLOCK_STEP = "clock_step"  # the system's clock of all machines
    ENDPOINT_DRAIN = "endpoint_drain"
    ENDPOINT_CRASH = "endpoint_crash"
    ENDPOINT_MODE = "endpoint_mode"
    DISCOVERY_DOWN = "discovery_down"
    DISCOVERY_SILENT = "discovery_silent"
    DISCOVERY_PIECES = "discovery_pieces"
    CLIENT_BURST = "client_burst"
    CLIENT_FAULTS = "client_faults"
    RELAY_SIGNALS = "relay_signals"  # several signals shortly after one another
    RELAY_CLOCK = "relay_clock"  # steps of one relay's clock, the first of them before its start


class SignalSeries(StrEnum):
    """Signals that a relay gets shortly after one another."""

    RELOADS = "reloads"  # SIGHUP, several times
    RELOAD_AND_STOP = "reload_and_stop"  # SIGHUP, and SIGTERM at once
    STOP_TWICE = "stop_twice"  # SIGTERM, and again while the relay drains


# Drawn for every plan beside its storms, by random numbers of their own: seeds keep their storms.
SERIES_KINDS = (FaultKind.RELAY_SIGNALS, FaultKind.RELAY_CLOCK)
STORM_KINDS = tuple(kind for kind in FaultKind if kind not in SERIES_KINDS)

SHIMS = (
    FaultKind.ACCEPT_ERRORS,
    FaultKind.CONNECT_ERRORS,
    FaultKind.SHORT_IO,
    FaultKind.DISK_ERRORS,
    FaultKind.CLOCK_STEP,
    FaultKind.RELAY_CLOCK,
)


class ScheduledFault(msgspec.Struct, frozen=True):
    """One fault at one place. ``target`` is a relay's or endpoint's number; -1 for all."""

    kind: FaultKind = msgspec.field(name="trouble")
    begin_s: float
    end_s: float
    target: int = -1
    value: float = 0.0
    mode: str = ""  # an EndpointMode or a SignalSeries, for ENDPOINT_MODE or RELAY_SIGNALS

    def is_active(self, at_s: float) -> bool:
        """Whether the fault is in effect ``at_s`` seconds after the run's start."""
        return self.begin_s <= at_s < self.end_s


class EndpointIncarnation(msgspec.Struct, frozen=True):
    """One process of an endpoint, from its start to its end."""

    name: str
    host: int  # the process of the soak in which it runs
    start_s: float
    drain_s: float  # NEVER_S where it does not drain
    end_s: float  # NEVER_S where it outlives the run
    is_crash: bool = False  # it ends without a drain
    port: int = 0


class SoakSize(msgspec.Struct, frozen=True):
    """The number of processes and the rate of requests of a run."""

    relays: int = 16
    hosts: int = 12
    requests_per_s: float = 200.0

    @property
    def endpoints(self) -> int:
        """Number of endpoints listed at any time, without those that are being replaced."""
        return self.hosts * ENDPOINTS_PER_HOST


class Variant(StrEnum):
    """A change of the default deployment."""

    PUSHED_LISTS = "pushed_lists"  # by an agent; relays are bound by a change as soon as the agent has it
    HEALTH_CHECKS = "health_checks"  # relays ask endpoints for load reports


class SoakPlan(msgspec.Struct):
    """The endpoints and faults of one run."""

    seed: int
    size: SoakSize
    effect: Effect  # of repeating a request of the only class
    variants: tuple[Variant, ...] = ()
    started_s: float = 0.0  # when the run started, by the monotonic clock
    faults: list[ScheduledFault] = msgspec.field(default_factory=list, name="incidents")
    incarnations: list[EndpointIncarnation] = msgspec.field(default_factory=list, name="lives")

    @property
    def is_pushed(self) -> bool:
        """Whether lists are pushed by an agent of the relay's machine."""
        return Variant.PUSHED_LISTS in self.variants

    def faults_of(self, *kinds: FaultKind) -> list[ScheduledFault]:
        """Returns the faults of these kinds, in order of time."""
        return [fault for fault in self.faults if fault.kind in kinds]

    def reloads(self) -> list[ScheduledFault]:
        """Returns the faults that send a relay SIGHUP with another discovery, in order of time."""
        faults = self.faults_of(FaultKind.RELAY_RELOAD, FaultKind.RELAY_SIGNALS)
        return [fault for fault in faults if fault.mode != SignalSeries.STOP_TWICE]

    def wall_shift_s(self, at_s: float) -> float:
        """Returns by how much the system's clock is ahead ``at_s`` seconds after the run's start."""
        return sum(step.value for step in self.faults_of(FaultKind.CLOCK_STEP) if at_s >= step.begin_s)


def relay_settings(plan: SoakPlan, relay: int) -> JsonObject:
    """Returns the settings of a relay by the keys of the platform's configuration."""
    quota = plan.size.requests_per_s * QUOTA_S
    one_class = {
        "name": "c",
        "aimMs": 900.0,
        "hardLimitMs": REQUEST_TIMEOUT_S * 1000.0,
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


class PlanDrawer:
    """Draws a plan: two storms of overlapping faults, and a few single ones between them."""

    def __init__(
        self, seed: int, size: SoakSize, storm: Sequence[FaultKind], variants: Sequence[Variant]
    ) -> None:
        self._rng = Random(seed)
        self._storm = storm
        effect = self._rng.choice(EFFECTS)
        self._plan = SoakPlan(seed, size, effect, tuple(variants))
        self._incarnations: dict[int, EndpointIncarnation] = {}  # the latest of each place
        self._next_number = size.endpoints

    def draw(self) -> SoakPlan:
        """Draws and returns the plan."""
        size = self._plan.size
        for place in range(size.endpoints):
            incarnation = EndpointIncarnation(
                f"s{place}", place // ENDPOINTS_PER_HOST, -60.0, NEVER_S, NEVER_S
            )
            self._incarnations[place] = incarnation
        for storm_s in (self._rng.uniform(2.5, 4.0), self._rng.uniform(7.0, 8.5)):
            for kind in self._storm or self._rng.sample(STORM_KINDS, STORM_FAULT_COUNT):
                self._add(kind, storm_s + self._rng.uniform(0.0, 1.0))
        self._add(FaultKind.CLIENT_FAULTS, 0.5)
        self._add(self._rng.choice([FaultKind.ENDPOINT_DRAIN, FaultKind.ENDPOINT_CRASH]), 5.5)
        self._add_series(Random(f"{self._plan.seed}/series"))
        self._plan.incarnations += self._incarnations.values()
        self._plan.faults.sort(key=lambda fault: fault.begin_s)
        return self._plan

    def _add_series(self, rng: Random) -> None:
        """Adds series of signals at some relays, and series of clock steps at others."""
        relays = range(self._plan.size.relays)
        count = max(1, len(relays) // 4)
        for relay in rng.sample(relays, count):
            at_s = rng.uniform(*SERIES_SPAN_S)
            mode = rng.choice(list(SignalSeries)).value
            self._record(ScheduledFault(FaultKind.RELAY_SIGNALS, at_s, at_s + 1.0, relay, mode=mode))
        for relay in rng.sample(relays, count):
            instants_s = [
                BEFORE_START_S,
                *(rng.uniform(*SERIES_SPAN_S) for _ in range(CLOCK_STEPS_PER_RELAY)),
            ]
            for at_s in instants_s:
                step_s = rng.choice(CLOCK_STEPS_S)
                self._record(ScheduledFault(FaultKind.RELAY_CLOCK, at_s, NEVER_S, relay, step_s))

    def _add(self, kind: FaultKind, at_s: float) -> None:
        rng = self._rng
        size = self._plan.size
        length_s = rng.uniform(0.5, 2.5)
        if kind in SERIES_KINDS:
            return  # every plan has them
        if kind in (FaultKind.ENDPOINT_DRAIN, FaultKind.ENDPOINT_CRASH):
            for place in rng.sample(range(size.endpoints), max(1, size.endpoints // rng.choice([3, 6]))):
                self._end_incarnation(place, at_s + rng.uniform(0.0, 0.5), kind)
        elif kind is FaultKind.ENDPOINT_MODE:
            for place in rng.sample(range(size.endpoints), max(1, size.endpoints // 5)):
                mode = rng.choice(list(EndpointMode)).value
                self._record(ScheduledFault(kind, at_s, at_s + length_s, place, mode=mode))
        elif kind is FaultKind.CLOCK_STEP:
            step_s = rng.choice(CLOCK_STEPS_S)
            self._record(ScheduledFault(kind, at_s, NEVER_S, value=step_s))
        elif kind.value.startswith(("relay", "accept", "connect", "short", "disk")):
            self._add_relay_fault(kind, at_s, length_s)
        else:
            self._record(ScheduledFault(kind, at_s, at_s + length_s))

    def _add_relay_fault(self, kind: FaultKind, at_s: float, length_s: float) -> None:
        size = self._plan.size
        is_process_end = kind in (FaultKind.RELAY_RESTART, FaultKind.RELAY_KILL)
        count = max(1, size.relays // (4 if is_process_end else 2))
        for relay in self._rng.sample(range(size.relays), count):
            begin_s = at_s + self._rng.uniform(0.0, 0.6)
            is_hold = kind is FaultKind.RELAY_HOLD
            self._record(ScheduledFault(kind, begin_s, begin_s + (HOLD_S if is_hold else length_s), relay))

    def _end_incarnation(self, place: int, at_s: float, kind: FaultKind) -> None:
        incarnation = self._incarnations[place]
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
        # A crashed process is started again under its name; a drained one is replaced by another machine.
        name = incarnation.name if is_crash else f"s{self._next_number}"
        self._next_number += 1
        start_s = at_s + RESTART_PAUSE_S * (1.0 if is_crash else self._rng.random())
        self._incarnations[place] = EndpointIncarnation(name, incarnation.host, start_s, NEVER_S, NEVER_S)
        self._record(ScheduledFault(kind, at_s, end_s, place))

    def _record(self, fault: ScheduledFault) -> None:
        self._plan.faults.append(fault)


def draw_plan(
    seed: int, size: SoakSize, storm: Sequence[FaultKind] = (), variants: Sequence[Variant] = ()
) -> SoakPlan:
    """Returns the plan of a seed, the same for the same arguments.

    Args:
        seed: The seed of all that is drawn.
        size: The number of processes and the rate of requests.
        storm: The faults of each storm; they are drawn where it is empty.
        variants: Changes of the deployment, which change nothing that is drawn.
    """
    return PlanDrawer(seed, size, storm, variants).draw()

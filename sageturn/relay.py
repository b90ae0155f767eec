"""Puts core, sockets and fronts together, and runs them until a signal."""

from __future__ import annotations

import asyncio
import logging
import signal
from collections import Counter
from collections.abc import Callable, Coroutine
from dataclasses import replace
from random import Random
from typing import TYPE_CHECKING

from sageturn.config import Config, ConfigError
from sageturn.core.clock import Clock
from sageturn.core.destinations import DestinationSet
from sageturn.core.drain import Lives, stop_times
from sageturn.core.hosts import Marks
from sageturn.core.messages import SourceMoved
from sageturn.core.module import ModuleActor
from sageturn.core.requests import Record
from sageturn.core.shared import Shared
from sageturn.core.tasks import end_task
from sageturn.flows.exporter import Exporter
from sageturn.fronts.platform import PlatformFront
from sageturn.fronts.xmpp.accounts import Accounts
from sageturn.fronts.xmpp.front import XmppFront
from sageturn.net.admission import Admission
from sageturn.net.discovery import DiscoveryClient
from sageturn.net.listener import Listener
from sageturn.net.sockets import RESERVE, bound_descriptors
from sageturn.store.records import Record as Stored
from sageturn.store.store import Store

if TYPE_CHECKING:  # read in once the settings allow it, or an operator's file turns it on
    from sageturn.net.probes import Prober
    from sageturn.overrides.actor import Overrides
    from sageturn.rebalance.driver import Rebalancer
    from sageturn.store.spread.member import Node

log = logging.getLogger(__name__)

LOG_LEVEL = "config/log_level"
STATE_S = 5.0
START_S = 0.001
SIGNALS = {signal.SIGHUP, signal.SIGTERM, signal.SIGINT}


class Relay:
    def __init__(self, config: Config, read_again: Callable[[Config], Config] | None = None) -> None:
        """``read_again`` reads the configuration anew, given the one in force."""
        self._config, self._read_again = config, read_again
        self._reload = asyncio.Event()
        self.module = ModuleActor(config.settings, config.seed, Clock(), self._want_watch)
        operator = config.operator
        self.store = Store(config.name, operator.store_path)
        self.overrides = self._make_overrides()
        self.destinations = DestinationSet(
            config.known,
            self.overrides.tell if self.overrides else self.module.tell,
            config.settings.discovery == "push",
        )
        if self.overrides is not None:
            self.destinations.out = self.overrides.out
        self.discovery = DiscoveryClient(config.discovery, self.destinations.hear)
        self.destinations.watcher = self.discovery
        self.lives = Lives(stop_times(config.settings.classes))
        self._actors: list[asyncio.Future[None]] = []
        self._fallen: asyncio.Queue[BaseException] = asyncio.Queue()  # what has ended an actor
        self.shared = Shared(self.module, self.destinations, self.lives, self._ended)
        front = PlatformFront(self.shared)
        self.admission = Admission(config.limits)
        self.listener = Listener(config.listen, front.serve, front.turn_away, self.admission)
        self.store.on_change.append(self._changed)
        self.replica = self._make_replica()
        self.exporter = Exporter(operator.flows) if operator.flows else None
        self.xmpp: Listener | None = None
        self._second: XmppFront | None = None
        if operator.xmpp is not None:
            self._second = XmppFront(self.shared, operator.xmpp, Accounts(self.store))
            self.xmpp = Listener(
                operator.xmpp.listen, self._second.serve, self._second.turn_away, self.admission
            )
        self._counts: Counter[str] = Counter()
        self.rebalancer: Rebalancer | None = None
        self.prober = self._make_prober()
        self._set_log_level()

    def _want_watch(self) -> None:
        self.destinations.want_watch()

    def _changed(self, records: list[Stored]) -> None:
        if any(record.key == LOG_LEVEL for record in records):
            self._set_log_level()

    def _set_log_level(self) -> None:
        """The store's word on it goes for every node; one that is no level is passed over."""
        level = self.store.get(LOG_LEVEL)
        if level in ("DEBUG", "INFO", "WARNING", "ERROR"):
            logging.getLogger().setLevel(level)

    def _make_overrides(self) -> Overrides | None:
        options = self._config.operator.overrides
        if options is None:
            return None
        from sageturn.overrides.actor import Overrides

        overrides = Overrides(self.module, options, self.store, self._tell("overrides"), self._mark)
        self.store.on_change.append(overrides.changed)
        return overrides

    def _make_replica(self) -> Node | None:
        options = self._config.operator.replication
        if options is None:
            return None
        from sageturn.store.spread.member import Node

        # Members of one fleet may share a seed, and must not do the same at the same moment.
        rng = Random(f"{self._config.seed}/{self._config.name}")
        return Node(self.store, options, self.admission, rng)

    def _make_prober(self) -> Prober | None:
        settings = self._config.settings
        if not settings.probes:
            return None
        from sageturn.net.probes import Prober

        prober = Prober(
            self.destinations.addresses,
            settings.report_fields,
            settings.connect_timeout_ms / 1000.0,
            settings.keepalive_ms / 1000.0,
            self.module.tell,
            self.shared.dropped,
        )
        self.module.probe = prober.ask
        return prober

    def _mark(self, marks: Marks) -> None:
        """Operators have marked hosts: clearing one needs a planner, whatever its own mode."""
        if self.rebalancer is not None:
            self.rebalancer.marks = marks

    def _tell(self, what: str) -> Callable[[dict[str, object]], None]:
        """Puts a part's state where an operator can read it at any replica."""
        key = f"state/{self.store.node}/{what}"

        def tell(state: dict[str, object]) -> None:
            if state != self.store.get(key):
                self.store.put(key, state)

        return tell

    def _set_rebalancing(self) -> None:
        """As the operator's file has it now. Once on it goes on looking, so as to know who was moved."""
        options = self._config.operator.rebalance
        if self.rebalancer is not None:
            old = self.rebalancer.options
            self.rebalancer.options = options if options is not None else replace(old, mode="off")
        elif self.overrides is not None or (options is not None and options.mode != "off"):
            from sageturn.rebalance.driver import Rebalancer
            from sageturn.rebalance.options import RebalanceOptions

            seed, options = self._config.seed, options or RebalanceOptions()
            self._add_rebalancer(Rebalancer(self.module, self.lives, options, seed, self._tell("rebalance")))

    def _add_rebalancer(self, rebalancer: Rebalancer) -> None:
        self.rebalancer = rebalancer
        if self.overrides is not None:
            rebalancer.marks = self.overrides.marks
        self._own(rebalancer.run())

    async def _tell_state(self) -> None:
        """What this node has done, where an operator can read it at any replica."""
        tell = self._tell("relay")
        while True:
            standing = sum(life.standing for life in self.lives)
            dropped = self.exporter.dropped if self.exporter else 0
            state = {
                "standing": standing,
                "ended": dict(self._counts),
                "flows_dropped": dropped,
                "reports_dropped": dict(self.shared.dropped),
            }
            if self.replica is not None:
                state["store"] = self.replica.state()
            tell(state)
            await asyncio.sleep(max(STATE_S, self.replica.state_every_s if self.replica else 0.0))

    def _ended(self, record: Record) -> None:
        self._counts[record.ending.name.lower() if record.ending else "not_placed"] += 1
        if self.exporter is not None:
            self.exporter.ended(record)
        log.info(
            "%s %s %s to %s after %d calls and %.3f s: %s%s%s",
            record.front,
            record.ask.wire_id or "-",
            record.ask.class_name,
            record.endpoint or "nobody",
            record.calls,
            (record.ended_ms - record.began_ms) / 1000.0,
            record.ending.name if record.ending else "not placed",
            f", quiet for {record.quiet_s:.3f} s" if record.stood else "",
            f", {record.answer}" if record.answer else "",
        )

    async def _reloads(self) -> None:
        """Signals that come while one is dealt with are dealt with together by the next reading."""
        while True:
            await self._reload.wait()
            self._reload.clear()
            if self._read_again is None:
                continue
            try:
                with RESERVE.lent():  # clients may hold all other descriptors
                    new = self._read_again(self._config)
            except ConfigError as error:
                log.error("configuration not taken, the old one stays in force: %s", error)
                continue
            except Exception:
                # A fault that no check foresaw must not end the relay either.
                log.exception("configuration not taken, the old one stays in force")
                continue
            await self._switch(new)

    async def _switch(self, new: Config) -> None:
        """Nothing here can fail half way: all of it was checked when it was read."""
        old, self._config = self._config, new
        bound_descriptors(new.limits.sockets)
        self.admission.limits = new.limits
        if self._second is not None and new.operator.xmpp is not None:
            self._second.options = new.operator.xmpp
        self._set_rebalancing()
        if self.overrides is not None and new.operator.overrides is not None:
            self.overrides.set_options(new.operator.overrides, self.store)
        if new.discovery != old.discovery:
            self.discovery.move(new.discovery)
            await self.destinations.put(SourceMoved())
        kept = old.needs_restart(new)
        log.info("configuration taken%s", f"; kept until a restart: {', '.join(kept)}" if kept else "")

    def _own(self, running: Coroutine[None, None, None]) -> None:
        """An actor that ends by itself is a fault, whenever it was begun: it must not go unseen."""

        def ended(actor: asyncio.Future[None]) -> None:
            if not actor.cancelled() and (error := actor.exception()) is not None:
                self._fallen.put_nowait(error)

        actor = asyncio.ensure_future(running)
        self._actors.append(actor)
        actor.add_done_callback(ended)

    async def _while_sound(self, waiting: Coroutine[None, None, object]) -> None:
        """Until it returns; raises what ended an actor before."""
        done = asyncio.ensure_future(waiting)
        fallen = asyncio.ensure_future(self._fallen.get())
        try:
            await asyncio.wait((done, fallen), return_when=asyncio.FIRST_COMPLETED)
            if fallen.done():
                raise fallen.result()
            await done
        finally:
            await end_task(fallen)
            await end_task(done)

    def start(self) -> None:
        runs = [self.module.run, self.destinations.run, self.listener.run, self._tell_state, self._reloads]
        if self.overrides is not None:
            runs.append(self.overrides.run)
        if self.xmpp is not None:
            runs.append(self.xmpp.run)
        if self.exporter is not None:
            runs.append(self.exporter.run)
        if self.replica is not None:
            self.replica.start()
        for listener in self._listeners():
            listener.open()
        for run in runs:
            self._own(run())
        self._set_rebalancing()

    async def stop(self) -> None:
        """At once: whatever still stands is cut off."""
        await self.discovery.stop()
        if self.prober is not None:
            await self.prober.stop()
        if self.replica is not None:
            await self.replica.stop()
        for actor in self._actors:
            await end_task(actor)
        for listener in self._listeners():
            listener.close()
            await listener.cancel()
        self.store.close()

    async def run(self) -> None:
        loop = asyncio.get_running_loop()
        stopping = asyncio.Event()
        for number in SIGNALS - {signal.SIGHUP}:
            loop.add_signal_handler(number, stopping.set)
        loop.add_signal_handler(signal.SIGHUP, self._reload.set)
        signal.pthread_sigmask(signal.SIG_UNBLOCK, SIGNALS)  # those held back since the start come now
        bound_descriptors(self._config.limits.sockets)
        # The loop turns before anybody can connect: a front sends clients to a relay that was killed
        # as soon as it listens, and those it keeps waiting for its own start lose that much of their time.
        await asyncio.sleep(START_S)
        if not stopping.is_set():  # else told to go before anybody could come
            self.start()
            await self._while_sound(stopping.wait())
            await self._while_sound(self.lives.drain(self))
        await self.stop()

    # ------------------------------------------------------------ its doors, at a planned stop

    def _listeners(self) -> list[Listener]:
        return [listener for listener in (self.listener, self.xmpp) if listener is not None]

    def unasked(self) -> int:
        return self.admission.unasked

    def shut(self) -> None:
        for listener in self._listeners():
            listener.shut()
        self.admission.evict_all()

    async def finish(self, patience_s: float) -> None:
        await asyncio.gather(*(listener.finish(patience_s) for listener in self._listeners()))

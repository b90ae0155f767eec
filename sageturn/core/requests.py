"""The life of one request: at most so many outbound calls, never two at once, one final answer.

A front supplies a ``Wire`` for each client; everything that must hold on every wire is here.
"""

from __future__ import annotations

import asyncio
import logging
import math
from collections.abc import Callable
from dataclasses import dataclass, field
from typing import Protocol

from sageturn import interface as api
from sageturn.core.endings import Ending, may_have_run, outcome_status
from sageturn.core.messages import Answer, Ask, EndCall, Instruction, MoveClient, PlaceCall
from sageturn.core.module import ModuleActor
from sageturn.core.tasks import end_task

log = logging.getLogger(__name__)

CLIENT_GONE = (Ending.CLIENT_LEFT, Ending.CLIENT_RESET)
CLIENT_OVER = (*CLIENT_GONE, Ending.CLIENT_FAULT)
HURRY_RETRY_MS = 250.0  # by then the front sends the client to another relay
NEVER_RAN = (Ending.NO_CONNECT, Ending.CUT_BEFORE_WRITTEN, Ending.NOT_SENT)
RESUME_CONNECT_MS = 5000.0
ANSWER_EARLY_MS = 15.0  # the last answer has to travel too before the client gives up


class Wire(Protocol):
    """One client on one front, as the core sees it."""

    async def call(self, endpoint: str, patience_ms: float, connect_ms: float) -> Ending | None:
        """One outbound call; None when it stands. Cancelled when it is called off: it must then let go.

        Before it connects it asks its life's ``held_back``, and ``before_writing`` in the moment before it
        writes the request's first byte.
        """

    async def drop(self) -> None:
        """Let go of a call that stands after all, though nobody is left to stand at its other side."""

    async def accept(self) -> None:
        """Tell the client that it is served, with what the endpoint gave."""

    async def stand(self, stop: asyncio.Event) -> Ending:
        """Pass both ways until either side ends; move the client once ``stop`` is set."""

    async def answer(self, answer: Answer) -> None:
        """The one final answer to a request that is not served."""

    async def client_left(self) -> Ending:
        """Returns once the client has gone, or is at fault, while its request is not yet answered."""

    def look_at_client(self) -> Ending | None:
        """The same, looked up on the spot: its end may lie unread while others have the core."""


@dataclass(slots=True)
class Record:
    """What is known of a connection when it has ended; flows are exported from it."""

    ask: Ask
    began_ms: float
    ended_ms: float = 0.0
    endpoint: str = ""
    calls: int = 0
    stood: bool = False
    ending: Ending | None = None
    answer: Answer | None = None
    front: str = "platform"
    client: tuple[str, int] = ("0.0.0.0", 0)
    endpoint_address: tuple[str, int] = ("0.0.0.0", 0)
    octets_up: int = 0  # passed on to the endpoint while it stood
    octets_down: int = 0
    report: dict[str, float] = field(default_factory=dict)  # the endpoint's load, with its last answer
    quiet_s: float = 0.0  # how long nothing had come from the endpoint when it ended, if it stood


class RequestLife:
    """Runs one request from its arrival to its end."""

    def __init__(self, module: ModuleActor, wire: Wire, ask: Ask) -> None:
        self._module, self._wire = module, wire
        self.id, self._mailbox = module.new_request()
        self.record = Record(ask, module.clock.now_ms())
        self.stop = asyncio.Event()  # set by a move or a shutdown: the client is to go elsewhere
        self._give_up_ms = self.record.began_ms + max(0.0, ask.wait_ms - ANSWER_EARLY_MS)
        self._answered = False
        self.over = asyncio.Event()  # a stop has come to its end: what is still owed is owed at once
        self._leaving: asyncio.Future[Ending] = asyncio.get_running_loop().create_future()
        self.written = False  # something of the attempt that is out may have been written
        self._ran_ms: float | None = None  # when the first attempt began that may have run
        self._class = module.classes.get(ask.class_name, module.settings.classes[0])

    @property
    def standing(self) -> bool:
        return self.record.stood and self.record.ending is None

    async def run(self) -> Record:
        ask = self.record.ask
        self._leaving = asyncio.ensure_future(self._wire.client_left())
        try:
            if ask.standing_at:
                await self._resume()
            else:
                await self._module.tell(
                    api.Request(
                        self.id,
                        ask.class_name,
                        ask.tenant,
                        self._give_up_ms,
                        ask.group,
                        ask.hint,
                        client=ask.client,
                        returned=ask.returned,
                        retried=ask.retried,
                    )
                )
                await self._place()
        except Exception:
            # No fault of this program may leave a client without its answer, or the module with a ghost.
            log.exception("request %s failed", ask.wire_id or self.id)
            await self._module.tell(api.ClientGone(self.id))
            ending = self.record.ending or Ending.CANCELLED
            await self._tell_outcome(max(0, self.record.calls - 1), self.record.endpoint, ending, True)
            await self._final(Answer(refused=False, why="internal"))
        finally:
            await end_task(self._leaving)
            self._module.forget(self.id)
            self.record.ended_ms = self._module.clock.now_ms()
        return self.record

    # ------------------------------------------------------------ until it stands or is answered

    async def _place(self) -> None:
        while True:
            # The module answers each event at once and never holds a request, so a client that leaves
            # now is dealt with a moment later, when there is a call of its own to close.
            match await self._mailbox.get():
                case PlaceCall(endpoint, patience_ms):
                    if await self._attempt(endpoint, patience_ms):
                        return
                case Answer() as answer:
                    await self._final(answer)
                    return
                case EndCall() | MoveClient():
                    pass  # word on a call that has ended meanwhile

    async def _attempt(self, endpoint: str, patience_ms: float) -> bool:
        """One outbound call to its end; True when the request needs nothing more."""
        attempt = self.record.calls
        self.record.calls += 1
        self.record.endpoint, self.record.report = endpoint, {}
        left_ms = self._give_up_ms - self._module.clock.now_ms()
        sent_ms = self._module.clock.now_ms()
        connect_ms = self._module.settings.connect_timeout_ms
        ending = await self._call(endpoint, min(patience_ms or left_ms, left_ms), connect_ms)
        if ending is None:
            took_ms = self._module.clock.now_ms() - sent_ms
            await self._module.tell(api.FirstSign(self.id, attempt, endpoint, took_ms))
            await self._stand(attempt, endpoint)
            return True
        self.record.ending = ending
        if self._ran_ms is None and may_have_run(ending):
            self._ran_ms = sent_ms
        if ending in CLIENT_OVER or self.over.is_set():
            # Nothing more is owed to the module's request, but the outcome of its attempt is.
            await self._module.tell(api.ClientGone(self.id))
            await self._tell_outcome(attempt, endpoint, ending, True)
            if ending is Ending.CLIENT_FAULT:
                await self._final(Answer(refused=False, why="wait for the answer"))
            elif ending not in CLIENT_GONE:
                await self._final(self._hurried())
            return True
        await self._tell_outcome(attempt, endpoint, ending, False)
        return False

    async def _tell_outcome(self, attempt: int, endpoint: str, ending: Ending, final: bool) -> None:
        status, report = outcome_status(ending), self.record.report
        await self._module.tell(api.Outcome(self.id, attempt, endpoint, status, final, report))

    def _hurried(self) -> Answer:
        """What a request hears that a stop leaves no more time: a refusal only where that is no lie."""
        refused = self._class.refusable(self._ran_ms is not None)
        return Answer(refused, HURRY_RETRY_MS if refused else 0.0, "shutdown")

    def key_left_ms(self) -> float:
        """How long a further attempt may still be written: its last byte counts, not when it was decided.

        Counted from the same moment as the module's, or a little later, so that the module won't decide on
        another attempt once this says that it is too late for one.
        """
        if self._ran_ms is None or self._class.effect != "keyed":
            return math.inf
        return self._ran_ms + self._class.key_ttl_ms - self._module.clock.now_ms()

    def held_back(self, wanted: Callable[[], bool] | None = None) -> Ending | None:
        """Why nothing may be begun for the request at this very moment, or None. For as long as a connection
        comes up, or other work has the core, its client may have gone, a stop come to its end, its key's time
        run out, or ``wanted`` turned false: whether its endpoint may still be given it.
        """
        if self._leaving.done():
            return self._leaving.result()
        if (gone := self._wire.look_at_client()) is not None:
            return gone
        if self.over.is_set() or self.key_left_ms() < 0 or (wanted is not None and not wanted()):
            return Ending.NOT_SENT
        return None

    def before_writing(self, wanted: Callable[[], bool] | None = None) -> Ending | None:
        """As ``held_back``; where it gives None, the request may have run from then on."""
        ending = self.held_back(wanted)
        self.written = ending is None
        return ending

    async def _call(self, endpoint: str, patience_ms: float, connect_ms: float) -> Ending | None:
        self.written = False
        if self._leaving.done():
            return self._leaving.result()
        if patience_ms <= 0 or self.over.is_set():
            return Ending.NOT_SENT
        over = asyncio.ensure_future(self.over.wait())
        calling = asyncio.ensure_future(self._wire.call(endpoint, patience_ms, min(connect_ms, patience_ms)))
        try:
            await asyncio.wait((calling, self._leaving, over), return_when=asyncio.FIRST_COMPLETED)
        finally:
            over.cancel()
            if not calling.done():
                # Never two at once: the next step waits until this call's connection is closed.
                calling.cancel()
                await asyncio.wait((calling,))
        if calling.cancelled():
            ending: Ending | None = Ending.CANCELLED if self.written else Ending.NOT_SENT
        else:
            ending = calling.result()
        if self._leaving.done():
            if ending is None:
                await self._wire.drop()
            return self._leaving.result()
        return ending

    def leave(self) -> None:
        """The relay is about to stop: the client is moved, if nobody has asked it to go yet."""
        if not self.stop.is_set():
            self.stop.set()
            if self.standing:
                self._module.drained(self.id)

    def hurry(self) -> None:
        """The relay is about to stop: a request not yet served is answered now."""
        self.over.set()

    async def _final(self, answer: Answer) -> None:
        if self._answered:
            return
        self._answered = True
        self.record.answer = answer
        await end_task(self._leaving)
        await self._wire.answer(answer)

    # ------------------------------------------------------------ while it stands

    async def _stand(self, attempt: int, endpoint: str) -> None:
        await end_task(self._leaving)
        self._answered = True
        self.record.stood, self.record.ending = True, None
        moving = asyncio.ensure_future(self._await_move())
        try:
            try:
                await self._wire.accept()
            except OSError:
                self.record.ending = Ending.CLIENT_RESET
                await self._wire.drop()
            else:
                self.record.ending = await self._wire.stand(self.stop)
        finally:
            moving.cancel()
            ending = self.record.ending or Ending.CLIENT_RESET
            self.record.ending = ending
            await self._tell_outcome(attempt, endpoint, ending, True)

    async def _await_move(self) -> None:
        instruction: Instruction | None = None
        while not isinstance(instruction, MoveClient):
            instruction = await self._mailbox.get()
        self.stop.set()

    async def note_load(self, value: float) -> None:
        """What the endpoint says of this connection's load, in microseconds of work a second."""
        attempt = max(0, self.record.calls - 1)
        note = api.Note(self.id, attempt, self.record.endpoint, "load", value / 1000.0)
        await self._module.tell(note)

    # ------------------------------------------------------------ stood before this relay did

    async def _resume(self) -> None:
        """All of these come at once, and nowhere else will do: a connect that takes long is no bad sign."""
        ask = self.record.ask
        self.record.endpoint = ask.standing_at
        ending: Ending | None = Ending.NOT_SENT
        while self.record.calls < self._module.settings.max_attempts and ending in NEVER_RAN:
            self.record.calls += 1
            left_ms = max(1.0, self._give_up_ms - self._module.clock.now_ms())
            ending = await self._call(ask.standing_at, left_ms, RESUME_CONNECT_MS)
            if self.over.is_set():
                break
        if ending is not None:
            self.record.ending = ending
            if may_have_run(ending):
                self._ran_ms = self.record.began_ms
            if ending not in CLIENT_GONE:
                lost = Answer(refused=False, why="lost")
                await self._final(self._hurried() if self.over.is_set() else lost)
            return
        await self._module.tell(
            api.Inherited(
                self.id, ask.class_name, ask.tenant, ask.standing_at, ask.group, ask.hint, ask.client
            )
        )
        await self._stand(0, ask.standing_at)  # to the module it is the first, however often it was called

"""What passes at this relay, read for signs that moving more clients would do harm."""

from __future__ import annotations

from collections import Counter
from collections.abc import Iterable

from sageturn.core.endpoint_snapshot import EndpointSnapshot
from sageturn.rebalance.book import ConnectionTable
from sageturn.rebalance.pace import Fading, Sign

RECENT_MS = 5000.0  # what counts as now: a few round trips of a move, from MOVE to the new UP
LATE_LEAST, LATE_PART = 2.0, 0.1  # late set-ups that count, and as a part of all
REFUSED_LEAST = 0.5  # one lately is a sign
REFUSING_LEAST, REFUSING_PART = 3.0, 0.2  # fail-fast answers that make an outage, and as a part of requests
RESET_LEAST, RESET_PART = 1.5, 0.005  # broken connections that count, and as a part of those that stand
BREAKING_LEAST, BREAKING_PART = 4.0, 0.03
UNREACHABLE_LEAST = 1.5  # failed calls: a single one may be a host's last moment
BACK_TAU_MS = 20000.0  # moves come seldom, so who came back is counted over a longer time
BACK_LEAST, BACK_PART = 4.0, 0.5  # awaited clients that tell anything, and the part of the usual that is bad
USUAL_NEW = 0.02  # weight of one client in the part that usually comes back to this relay
DRAIN_MOST_MS = 60000.0  # a host that drains for longer sends its clients away slowly enough
LOST_MS = 8000.0  # clients of a lost host are back by then


class OverloadSignals:
    """``usual_back``: the part of moved clients that come back to this relay, others meet another one."""

    def __init__(self, usual_back: float) -> None:
        self.expect_back(usual_back)
        self.seen: Counter[str] = Counter()  # ticks at which each sign was there
        self._asked, self._set_up, self._late = Fading(RECENT_MS), Fading(RECENT_MS), Fading(RECENT_MS)
        self._refused, self._reset = Fading(RECENT_MS), Fading(RECENT_MS)
        self._unreachable = Fading(RECENT_MS)
        self._back, self._not_back = Fading(BACK_TAU_MS), Fading(BACK_TAU_MS)
        self._list_failed = False
        self._hosts: dict[str, EndpointSnapshot] = {}
        self._draining_ms: dict[str, float] = {}
        self._lost_ms = float("-inf")

    def expect_back(self, part: float) -> None:
        """Where there are so many relays that this part of the moved come back here, if it goes by chance."""
        self.usual_back = part
        # Bounded below: were it to fall with every outage, the last would not be seen.
        self._least_back = part / 2.0

    # ------------------------------------------------------------ events

    def asked(self, now_ms: float) -> None:
        self._asked.add(now_ms)

    def set_up(self, now_ms: float, late: bool) -> None:
        self._set_up.add(now_ms)
        if late:
            self._late.add(now_ms)

    def refused(self, now_ms: float) -> None:
        self._refused.add(now_ms)

    def reset(self, now_ms: float) -> None:
        self._reset.add(now_ms)

    def unreachable(self, now_ms: float) -> None:
        self._unreachable.add(now_ms)

    def listed(self, failed: bool) -> None:
        self._list_failed = failed

    def back(self, now_ms: float) -> None:
        self._back.add(now_ms)
        self.usual_back += USUAL_NEW * (1.0 - self.usual_back)

    def not_back(self, now_ms: float, clients: int) -> None:
        if clients:
            self._not_back.add(now_ms, clients)
            self.usual_back = max(self._least_back, self.usual_back * (1.0 - USUAL_NEW) ** clients)

    # ------------------------------------------------------------ reading

    def read(
        self,
        now_ms: float,
        book: ConnectionTable,
        hosts: Iterable[EndpointSnapshot],
        out: frozenset[str] = frozenset(),
    ) -> list[Sign]:
        """Those that there are now; to be called at each tick, with the hosts as they are.

        ``out``: hosts that an operator has taken out of service, which look like draining ones.
        """
        self._see_hosts(now_ms, book, hosts, out)
        own = max(1, len(book))
        found = []
        refused, asked = self._refused.at(now_ms), self._asked.at(now_ms)
        broken = self._reset.at(now_ms)
        back, awaited = self._back.at(now_ms), self._back.at(now_ms) + self._not_back.at(now_ms)
        late = self._late.at(now_ms)
        if self._list_failed:
            found.append(Sign.LIST_FAILED)
        if now_ms < self._lost_ms + LOST_MS:
            found.append(Sign.LOST)
        if any(now_ms < since + DRAIN_MOST_MS for since in self._draining_ms.values()):
            found.append(Sign.DRAINING)
        if refused >= REFUSING_LEAST and refused >= REFUSING_PART * asked:
            found.append(Sign.REFUSING)
        if broken >= max(BREAKING_LEAST, BREAKING_PART * own):
            found.append(Sign.BREAKING)
        if any(host.ejected for host in self._hosts.values()):
            found.append(Sign.PUT_OUT)
        if refused >= REFUSED_LEAST:
            found.append(Sign.REFUSED)
        if broken >= max(RESET_LEAST, RESET_PART * own):
            found.append(Sign.RESET)
        if self._unreachable.at(now_ms) >= UNREACHABLE_LEAST:
            found.append(Sign.UNREACHABLE)
        if late >= LATE_LEAST and late >= LATE_PART * self._set_up.at(now_ms):
            found.append(Sign.LATE)
        if awaited * self.usual_back >= BACK_LEAST and back < BACK_PART * self.usual_back * awaited:
            found.append(Sign.NOT_BACK)
        self.seen.update(sign.name.lower() for sign in found)
        return found

    def _see_hosts(
        self, now_ms: float, book: ConnectionTable, hosts: Iterable[EndpointSnapshot], out: frozenset[str]
    ) -> None:
        now = {host.name: host for host in hosts}
        for name, before in self._hosts.items():
            host = now.get(name)
            if host is None:
                if not before.draining:
                    self._lost_ms = now_ms
            elif host.started_ms != before.started_ms:
                self._lost_ms = now_ms
        for name, host in now.items():
            if host.draining and name in book.hosts and name not in out:
                self._draining_ms.setdefault(name, now_ms)
            else:
                self._draining_ms.pop(name, None)
        for name in [n for n in self._draining_ms if n not in now]:
            del self._draining_ms[name]
        self._hosts = now

"""Overrides on a clock of the test's own: each kind takes effect and lapses, and what may go wrong."""

from __future__ import annotations

import random
from dataclasses import replace
from typing import Any

import pytest
from cryptography.hazmat.primitives.asymmetric.ed25519 import Ed25519PrivateKey
from hypothesis import given, settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, initialize, invariant, rule

from sageturn import Endpoint
from sageturn.overrides.board import OverrideRegistry
from sageturn.overrides.model import fold
from sageturn.overrides.ops import (
    InvalidOperationError,
    OverrideOperation,
    OverridePayload,
    Selector,
    parse_operation,
    sign,
)
from sageturn.overrides.options import OverrideOptions
from sageturn.overrides.resolve import SafetyLimits

KEYS = {name: Ed25519PrivateKey.generate() for name in ("lan", "mai")}
PUBLIC = {name: key.public_key() for name, key in KEYS.items()}
HOUR = 3_600_000.0
T0 = 1.8e12
WARM = 24000.0
OPEN = SafetyLimits(0.0, 0.0, 0.0)


def options(**more: Any) -> OverrideOptions:
    return OverrideOptions(**{"operators": PUBLIC, "floors": OPEN, **more})


def host(name: str, **more: Any) -> Endpoint:
    return Endpoint(name, **{"zone": "z1" if name < "c" else "z2", "kind": "k", **more})


def op(
    override: str, body: OverridePayload | None = None, word: str = "set", **more: Any
) -> OverrideOperation:
    defaults = {
        "revision": 1,
        "at_ms": T0,
        "operator": "lan",
        "why": "test",
        "until_ms": T0 + HOUR,
        "nonce": "0" * 8,
    }
    if word == "revoke":
        defaults["until_ms"] = 0.0
    return OverrideOperation(override, word, **{**defaults, "body": body, **more})


def out(name: str, **more: Any) -> OverridePayload:
    return OverridePayload("out", Selector("host", name), **more)


def record(said: OverrideOperation) -> tuple[str, Any]:
    return said.key, sign(said, KEYS[said.operator])


class Desk:
    """A board, and the lines that the module has been told last."""

    def __init__(self, names: str = "abcd", **more: Any) -> None:
        self.board = OverrideRegistry(options(**more), 0.12, WARM)
        self.now, self.lines = T0, dict[str, Endpoint]()
        self.list([host(n) for n in names])

    def see(self, lines: list[Endpoint]) -> list[Endpoint]:
        self.lines.update({line.name: line for line in lines})
        return lines

    def list(self, endpoints: list[Endpoint], whole: bool = True) -> None:
        self.see(self.board.listed(endpoints, whole, self.now))

    def say(self, *said: OverrideOperation) -> list[Endpoint]:
        return self.see(self.board.take([record(s) for s in said], self.now))

    def at(self, now: float) -> list[Endpoint]:
        self.now = now
        return self.see(self.board.pass_time(now))

    def state(self, name: str) -> str:
        return self.lines[name].state

    def status(self, override: str) -> str:
        return self.board.status(self.board.known[override], self.now)


def test_out_of_service_takes_effect_and_lapses_at_its_instant() -> None:
    desk = Desk()
    assert [line.name for line in desk.say(op("o1", out("a", move_off=True)))] == ["a"]
    assert desk.state("a") == "draining" and desk.board.resolver.effect("a").move_off
    assert desk.at(T0 + HOUR - 1) == [] and desk.state("a") == "draining"
    assert desk.board.next_ms(desk.now) == T0 + HOUR
    desk.at(T0 + HOUR)
    assert desk.state("a") == "ready" and desk.status("o1") == "lapsed"
    assert desk.lines["a"].started_at_ms == T0 + HOUR, "it comes back as a host that has just started"
    assert [h.what for h in desk.board.happened] == ["set", "lapsed"]


def test_a_weight_comes_back_no_faster_than_a_cold_host_warms() -> None:
    desk = Desk()
    desk.say(op("w1", OverridePayload("weight", Selector("zone", "z1"), factor=0.25)))
    assert {n: line.factor for n, line in desk.lines.items()} == {"a": 0.25, "b": 0.25, "c": 1.0, "d": 1.0}
    seen = [0.25]
    for k in range(60):
        desk.at(T0 + HOUR + k * 1000.0)
        seen.append(desk.lines["a"].factor)
        steepest = 0.88 / WARM * 1000.0
        assert seen[-1] - seen[-2] <= steepest + 1e-9
    assert seen[-1] == 1.0 and seen == sorted(seen) and desk.board.next_ms(desk.now) is None


def test_the_host_that_joins_an_overridden_zone_is_covered() -> None:
    desk = Desk()
    desk.say(op("o1", OverridePayload("out", Selector("zone", "z2"))))
    desk.list([host("e")], whole=False)
    assert desk.state("e") == "draining"
    desk.list([host(n) for n in "abcdefg"])
    assert [n for n in "abcdefg" if desk.state(n) == "draining"] == list("cdefg")
    desk.list([host(n, zone="z3") for n in "abcdefg"])
    assert not [n for n in "abcdefg" if desk.state(n) == "draining"]


def test_a_host_that_leaves_and_returns_under_its_name_is_still_meant() -> None:
    desk = Desk()
    desk.say(op("o1", out("a")), op("o2", out("b", this_start_ms=5.0)))
    assert desk.status("o1") == "in force" and desk.status("o2") == "dormant"
    desk.list([host("b", started_at_ms=5.0)], whole=False)
    assert desk.state("b") == "draining"
    desk.list([host("a", state="gone"), host("b", state="gone")], whole=False)
    assert desk.status("o1") == desk.status("o2") == "dormant"
    desk.list([host("a", started_at_ms=9.0), host("b", started_at_ms=9.0)], whole=False)
    assert desk.state("a") == "draining" and desk.lines["a"].started_at_ms == 9.0
    assert desk.state("b") == "ready" and desk.lines["b"].started_at_ms == 9.0


def test_discoverys_word_wins_and_a_lapse_leaves_a_drain_alone() -> None:
    desk = Desk()
    desk.say(op("o1", out("a")), op("w", OverridePayload("weight", Selector("host", "b"), factor=2.0)))
    desk.list([host("a", state="draining"), host("b", state="draining")], whole=False)
    desk.at(T0 + 2 * HOUR)
    assert desk.state("a") == desk.state("b") == "draining"
    desk.list([host("a", state="gone")], whole=False)
    assert desk.state("a") == "gone" and "a" not in desk.board.resolver.hosts


def test_one_that_ran_out_while_the_relay_was_down_never_takes_effect() -> None:
    desk = Desk()
    desk.now = T0 + HOUR + 1
    assert desk.say(op("o1", out("a"))) == [] and desk.state("a") == "ready"
    assert desk.board.happened == [] and desk.status("o1") == "lapsed"


def test_a_clock_set_back_brings_nothing_back_and_one_set_forward_ends_what_is_over() -> None:
    desk = Desk()
    desk.say(op("o1", out("a")), op("o2", out("b"), until_ms=T0 + 3 * HOUR))
    desk.at(T0 + 2 * HOUR)
    desk.at(T0)  # stepped back two hours
    assert desk.state("a") == "ready" and desk.status("o1") == "lapsed" and desk.state("b") == "draining"
    desk.say(op("o1", word="extend", revision=2, until_ms=T0 + 2 * HOUR))
    assert desk.state("a") == "draining", "a later word counts"
    desk.at(T0 + 4 * HOUR)
    assert desk.state("a") == desk.state("b") == "ready"


def test_extension_and_revocation_and_the_longest_time() -> None:
    desk = Desk(longest_s=7200.0)
    desk.say(op("o1", out("a"), until_ms=T0 + 100 * HOUR))
    assert desk.board.known["o1"].until_ms == T0 + 2 * HOUR
    desk.say(op("o1", word="extend", revision=2, at_ms=T0 + HOUR, until_ms=T0 + 2.5 * HOUR, operator="mai"))
    assert desk.board.known["o1"].until_by == "mai"
    desk.at(T0 + 2 * HOUR)
    assert desk.state("a") == "draining"
    desk.say(op("o1", word="revoke", revision=3, at_ms=T0 + 2 * HOUR))
    assert desk.state("a") == "ready" and desk.status("o1") == "revoked"
    desk.say(op("o1", word="extend", revision=9, at_ms=T0 + 2 * HOUR, until_ms=T0 + 3 * HOUR, nonce="1" * 8))
    assert desk.status("o1") == "revoked", "an extension from the other side of a split brings nothing back"
    assert [o.word for o in desk.board.history("o1")] == ["set", "extend", "revoke", "extend"]


def test_a_record_tampered_with_is_refused_and_so_is_a_stranger() -> None:
    good = op("o1", out("a"))
    key, value = record(good)
    desk = Desk()
    for bad_key, bad in (
        (key, {**value, "until_ms": T0 + 2 * HOUR}),
        (key, {**value, "operator": "mai"}),
        (key, {**value, "signature": "AAAA"}),
        (key, {**value, "why": " "}),
        (key, 5),
        (key, {}),
        (key, {**value, "body": {**value["body"], "zone": "z1"}}),
        (key, {**value, "extra": 1}),
        (key.replace("o1", "o2"), value),
        (key, {**value, "body": {"does": "weight", "host": "a", "factor": 9}}),
        (key, {**value, "body": {"does": "pin", "hosts": []}}),
        (key, {**value, "until_ms": float("nan")}),
    ):
        desk.board.happened.clear()
        assert desk.see(desk.board.take([(bad_key, bad)], T0)) == []
        assert [h.what for h in desk.board.happened] == ["refused"], bad
    with pytest.raises(InvalidOperationError, match="not known here"):
        parse_operation(key, value, {"mai": PUBLIC["mai"]})
    desk.see(desk.board.take([(key, value)], T0))
    assert desk.state("a") == "draining" and desk.board.refused.get(key) is None
    desk.see(desk.board.take([(key, {**value, "until_ms": T0 + 9 * HOUR})], T0))
    assert desk.board.known["o1"].until_ms == T0 + HOUR, "no word is ever changed"
    desk.see(desk.board.set_options(options(operators={"mai": PUBLIC["mai"]}), T0))
    assert desk.state("a") == "ready" and key in desk.board.refused


def test_the_guard_suspends_what_is_too_much_together_and_in_what_order_it_came_does_not_matter() -> None:
    # Two sets, each fine alone; with both only a quarter of zone z1 would be left.
    first, second = op("o1", out("a")), op("o2", out("b"), at_ms=T0 + 1, operator="mai")
    for order in ((first, second), (second, first)):
        desk = Desk(floors=SafetyLimits(0.5, 0.5, 0.0))
        for said in order:
            desk.say(said)
        assert desk.state("a") == "draining" and desk.state("b") == "ready"
        assert "0.0 of 2.0 in zone z1" in desk.board.resolver.suspended["o2"]
        assert desk.status("o2") == "suspended"
        desk.say(op("o1", word="revoke", revision=2))
        assert desk.state("a") == "ready" and desk.state("b") == "draining"
        assert {"suspended", "resumed"} <= {h.what for h in desk.board.happened}
    forced = Desk(floors=SafetyLimits(0.5, 0.5, 0.0))
    forced.say(first, replace(second, forced=True))
    assert forced.state("a") == forced.state("b") == "draining"


def test_when_hosts_leave_until_too_little_is_left_the_newest_waits() -> None:
    desk = Desk("abcdef", floors=SafetyLimits(0.5, 0.0, 0.0))
    desk.say(op("o1", out("a")), op("o2", out("b"), at_ms=T0 + 1))
    assert desk.state("a") == desk.state("b") == "draining"
    desk.list([host("e", state="gone"), host("f", state="gone"), host("d", state="gone")], whole=False)
    assert desk.state("a") == "draining" and desk.state("b") == "ready"
    desk.list([host("d"), host("e"), host("f")], whole=False)
    assert desk.state("b") == "draining"


def test_pins_select_their_traffic_and_meet() -> None:
    desk = Desk()
    desk.say(
        op("p1", OverridePayload("pin", hosts=("a", "b"), strict=True, class_name="c")),
        op("p2", OverridePayload("pin", hosts=("b", "c"), strict=True, tenant="t")),
        op("p3", OverridePayload("pin", hosts=("d",), group_prefix="tet-")),
    )
    pinned = desk.board.pinned
    assert pinned("x", "u", "") is None
    assert pinned("c", "u", "").strict == {"a", "b"}  # type: ignore[union-attr]
    assert pinned("c", "t", "").strict == {"b"}  # type: ignore[union-attr]
    both = pinned("c", "u", "tet-1")
    assert both is not None and both.strict == {"a", "b"} and both.preferred == {"d"}
    desk.at(T0 + HOUR)
    assert pinned("c", "t", "tet-1") is None


def test_a_pin_that_leaves_too_little_is_suspended() -> None:
    desk = Desk("abcdef", floors=SafetyLimits(0.0, 0.0, 0.3))
    desk.say(op("p1", OverridePayload("pin", hosts=("a",), strict=True, class_name="c")))
    assert "1.0 of 6.0 to what it pins" in desk.board.resolver.suspended["p1"]
    assert desk.board.pinned("c", "t", "") is None
    desk.say(op("p2", OverridePayload("pin", hosts=("a",), class_name="c"), at_ms=T0 + 1))
    assert desk.board.pinned("c", "t", "").preferred == {"a"}  # type: ignore[union-attr]


def test_the_smallest_weight_counts_and_out_goes_before_it() -> None:
    desk = Desk()
    desk.say(
        op("w1", OverridePayload("weight", Selector("host", "a"), factor=2.0)),
        op("w2", OverridePayload("weight", Selector("kind", "k"), factor=0.5)),
        op("h1", OverridePayload("hold", Selector("cell", "0"))),
    )
    assert desk.lines["a"].factor == 0.5 and desk.board.resolver.effect("c").hold
    desk.say(op("o1", out("a")))
    assert desk.state("a") == "draining" and desk.board.resolver.effect("a").by == ("h1", "o1", "w1", "w2")


def test_a_thousand_overrides_that_lapse_in_one_instant() -> None:
    desk = Desk("")
    desk.list([host(f"h{k}") for k in range(1000)])
    desk.say(*(op(f"o{k}", out(f"h{k}")) for k in range(1000)))
    assert all(desk.state(f"h{k}") == "draining" for k in range(1000))
    assert len(desk.at(T0 + HOUR)) == 1000
    assert all(desk.state(f"h{k}") == "ready" for k in range(1000)) and not desk.board.resolver.overrides


WORDS = st.lists(
    st.builds(
        lambda word, revision, at, until, who, nonce: op(
            "o1",
            out("a") if word == "set" else None,
            word,
            revision=revision,
            at_ms=T0 + at,
            until_ms=0.0 if word == "revoke" else T0 + until,
            operator=who,
            nonce=f"{nonce:08x}",
        ),
        st.sampled_from(["set", "extend", "extend", "revoke"]),
        st.integers(1, 4),
        st.integers(0, 9),
        st.integers(1, 99),
        st.sampled_from(["lan", "mai"]),
        st.integers(0, 3),
    ),
    max_size=8,
    unique_by=lambda o: o.key,
)


@given(WORDS, st.randoms(use_true_random=False))
def test_words_make_the_same_override_whatever_order_they_come_in(
    said: list[OverrideOperation], rng: random.Random
) -> None:
    # Commutative, idempotent and associative: the sum of a set of words.
    other = said + said[: len(said) // 2]
    rng.shuffle(other)
    assert fold(said, 1e9) == fold(other, 1e9)
    boards = [OverrideRegistry(options(), 0.12, WARM) for _ in range(2)]
    for board in boards:
        board.listed([host("a")], True, T0)
    boards[0].take([record(o) for o in said], T0)
    for word in other:
        boards[1].take([record(word)], T0)
    assert boards[0].known == boards[1].known
    assert boards[0].line("a", T0).state == boards[1].line("a", T0).state


class Against(RuleBasedStateMachine):
    """The board, kept up change by change, against one that is made anew from all that was said."""

    @initialize()
    def start(self) -> None:
        self.floors = SafetyLimits(0.4, 0.3, 0.2)
        self.desk = Desk("abcdef", floors=self.floors)
        self.said: list[OverrideOperation] = []
        self.hosts = {n: host(n) for n in "abcdef"}

    @rule(
        what=st.sampled_from(["out", "weight", "hold", "pin"]),
        on=st.sampled_from("abcdef"),
        by=st.sampled_from(["host", "zone"]),
        factor=st.sampled_from([0.1, 0.5, 2.0]),
        length=st.integers(1, 20),
        forced=st.booleans(),
    )
    def sets(self, what: str, on: str, by: str, factor: float, length: int, forced: bool) -> None:
        selector = Selector(by, on if by == "host" else self.hosts[on].zone)
        body = OverridePayload(what, selector, factor=factor if what == "weight" else 1.0)
        if what == "pin":
            body = OverridePayload("pin", hosts=(on,), strict=forced, class_name="c")
        now = self.desk.now
        said = op(f"x{len(self.said)}", body, at_ms=now, until_ms=now + length * 1000.0, forced=forced)
        self.said.append(said)
        self.desk.say(said)

    @rule(which=st.integers(0, 50))
    def revokes(self, which: int) -> None:
        if self.said:
            known = self.said[which % len(self.said)]
            said = op(known.override, word="revoke", revision=2, at_ms=self.desk.now)
            if said.key not in {s.key for s in self.said}:
                self.said.append(said)
                self.desk.say(said)

    @rule(name=st.sampled_from("abcdef"), state=st.sampled_from(["ready", "draining", "gone"]))
    def lists(self, name: str, state: str) -> None:
        self.hosts[name] = host(name, state=state)
        self.desk.list([self.hosts[name]], whole=False)

    @rule(seconds=st.integers(1, 30))
    def waits(self, seconds: int) -> None:
        self.desk.at(self.desk.now + seconds * 1000.0)

    @invariant()
    def is_as_if_made_anew(self) -> None:
        if not hasattr(self, "desk"):
            return
        anew = OverrideRegistry(options(floors=self.floors), 0.12, WARM)
        anew.listed([h for h in self.hosts.values() if h.state != "gone"], True, self.desk.now)
        anew.take([record(s) for s in self.said], self.desk.now)
        ours, theirs = self.desk.board.resolver, anew.resolver
        assert ours.suspended == theirs.suspended
        assert ours.effects == theirs.effects
        for name in theirs.hosts:
            ready = theirs.hosts[name].state == "ready" and not theirs.effect(name).out
            assert (self.desk.lines[name].state == "ready") == ready
        assert ours.pinned("c", "t", "") == theirs.pinned("c", "t", "")
        for zone, left in theirs._left.items():
            assert ours._left[zone] == pytest.approx(left)


TestAgainstTheModel = Against.TestCase
TestAgainstTheModel.settings = settings(max_examples=40, stateful_step_count=25, deadline=None)

"""Endpoints that fall silent: when their clients are moved. All on a clock that is passed in."""

from hypothesis import given
from hypothesis import strategies as st

from sageturn.core.quiet import Quiet
from sageturn.fronts.platform import BACK_WITHIN_S, LINE_EVERY_S, MUTE_S

LAST = 100.0  # the endpoint's last word


def mute_at(quiet: Quiet, asks: list[float]) -> float:
    """When the client is moved: the wait is slept out, and asked for again, as ``wait_out`` does."""
    now, asks = LAST, sorted(asks)
    while True:
        left = quiet.left_s(now)
        if left <= 0:
            return now
        now += left
        while asks and asks[0] <= now:
            quiet.asked(asks.pop(0))


@given(st.floats(0.0, LINE_EVERY_S), st.floats(0.0, 5.0))
def test_a_client_of_a_silent_endpoint_is_moved_in_time_whatever_its_beat(phase: float, stood: float) -> None:
    # Seen: silent 10 and silent+term 2, a client whose next line came 1.8 s after the endpoint's last word
    # was to be moved 5.0 to 5.25 s after that line, and left after 7 s: its request was lost.
    quiet = Quiet(LAST - stood, MUTE_S, LINE_EVERY_S)
    quiet.asked(LAST - stood)
    quiet.heard(LAST)
    moved = mute_at(quiet, [LAST + phase + k * LINE_EVERY_S for k in range(4)])
    assert LAST + BACK_WITHIN_S - 1.0 < moved <= LAST + BACK_WITHIN_S - 0.5


def test_a_line_gets_its_whole_patience_and_an_idle_endpoint_is_not_mute() -> None:
    quiet = Quiet(LAST, 3.0, 2.0)
    for hour in range(1, 4):
        assert quiet.left_s(LAST + 3600.0 * hour) == 3.0  # nothing was asked
    quiet.asked(LAST + 3600.0)
    quiet.asked(LAST + 3602.0)  # the oldest counts
    assert quiet.left_s(LAST + 3602.5) == 0.5
    quiet.heard(LAST + 3602.5)
    assert quiet.left_s(LAST + 3602.5) == 3.0
    quiet.asked(LAST + 3602.5)
    assert quiet.left_s(LAST + 3602.5) == 5.0

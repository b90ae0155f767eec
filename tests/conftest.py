"""Configures Hypothesis, pytest-asyncio and pytest-timeout for all tests."""

from __future__ import annotations

import asyncio
import inspect
from collections.abc import AsyncIterator, Callable
from functools import partial

import pytest
from hypothesis import settings as hypothesis_settings
from support.virtual_time import VirtualTimeLoop

from sageturn.core.clock import Clock
from sageturn.relay import relay as relay_module

# Hypothesis's deadline is off: an example may take over 200 ms while other processes keep the cores busy.
hypothesis_settings.register_profile("sageturn", deadline=None)
hypothesis_settings.load_profile("sageturn")

ASYNC_TEST_TIMEOUT_S = 20
VIRTUAL_TIME_LIMIT_S = 60.0


def pytest_collection_modifyitems(items: list[pytest.Item]) -> None:
    """Set a shorter timeout for coroutine tests that have no ``timeout`` mark of their own."""
    for item in items:
        is_coroutine = isinstance(item, pytest.Function) and inspect.iscoroutinefunction(item.function)
        if is_coroutine and item.get_closest_marker("timeout") is None:
            item.add_marker(pytest.mark.timeout(ASYNC_TEST_TIMEOUT_S))


def pytest_asyncio_loop_factories(
    item: pytest.Item,
) -> dict[str, Callable[[], asyncio.AbstractEventLoop]]:
    """Run tests that request the fixture ``virtual_time`` on a loop whose clock only its timers advance."""
    if "virtual_time" in getattr(item, "fixturenames", ()):
        return {"virtual_time": VirtualTimeLoop}
    return {"default": asyncio.new_event_loop}


@pytest.fixture
async def virtual_time(
    request: pytest.FixtureRequest, monkeypatch: pytest.MonkeyPatch
) -> AsyncIterator[VirtualTimeLoop]:
    """Yield the test's event loop, whose virtual clock is also used by relays that the test starts.

    The test fails if it takes more virtual seconds than its mark ``virtual_time_limit`` allows, or more than
    ``VIRTUAL_TIME_LIMIT_S`` if it has none.
    """
    loop = asyncio.get_running_loop()
    assert isinstance(loop, VirtualTimeLoop)
    mark = request.node.get_closest_marker("virtual_time_limit")
    limit_s: float = mark.args[0] if mark else VIRTUAL_TIME_LIMIT_S
    started_s = loop.time()
    monkeypatch.setattr(relay_module, "Clock", partial(Clock, monotonic_s=loop.time))
    yield loop
    assert loop.time() - started_s <= limit_s, f"took over {limit_s} s of virtual time"

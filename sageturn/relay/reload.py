"""Reads the configuration anew when a reload is requested (SIGHUP), and has it applied."""

from __future__ import annotations

import asyncio
import logging
from collections.abc import Awaitable, Callable

from sageturn.config.errors import ConfigError
from sageturn.config.platform import RelayConfig
from sageturn.net.descriptors import DESCRIPTOR_RESERVE

log = logging.getLogger(__name__)

ReadConfig = Callable[[RelayConfig], RelayConfig]


class ConfigReloader:
    """An actor. Requests that come while one is dealt with are dealt with together by the next reading."""

    def __init__(
        self,
        current: Callable[[], RelayConfig],
        read_config: ReadConfig | None,
        apply_config: Callable[[RelayConfig], Awaitable[None]],
    ) -> None:
        """``read_config`` reads the configuration anew, given the one in force; without it none is taken."""
        self.requested = asyncio.Event()
        self._current = current
        self._read_config = read_config
        self._apply_config = apply_config

    async def run(self) -> None:
        """Reload on each request until cancelled; requests during a reload cause one more."""
        while True:
            await self.requested.wait()
            self.requested.clear()
            new = self._read()
            if new is not None:
                await self._apply_config(new)

    def _read(self) -> RelayConfig | None:
        """The new configuration, or None where it can't be had: the old one then stays in force."""
        if self._read_config is None:
            return None
        try:
            with DESCRIPTOR_RESERVE.borrow():  # clients may hold all other descriptors
                return self._read_config(self._current())
        except ConfigError as error:
            log.error("configuration rejected, the old one stays in force error=%s", error)
        except Exception:
            # A fault that no check foresaw must not end the relay either.
            log.exception("configuration could not be read, the old one stays in force")
        return None


def log_config_applied(old: RelayConfig, new: RelayConfig) -> None:
    """Names the keys that differ and that a running relay keeps as they were."""
    kept = old.keys_needing_restart(new)
    if kept:
        log.info("configuration applied needs_restart=%s", ",".join(kept))
    else:
        log.info("configuration applied")

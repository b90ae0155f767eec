"""Reads the configuration anew when a reload is requested (SIGHUP), and has it applied."""

from __future__ import annotations

import asyncio
import logging
from collections.abc import Awaitable, Callable

from sageturn.config.errors import ConfigError, ConfigUnreadableError
from sageturn.config.platform import RelayConfig
from sageturn.net.descriptors import DESCRIPTOR_RESERVE

log = logging.getLogger(__name__)

READ_RETRY_INTERVAL_S = 0.2  # while the files cannot be read at the moment
MAX_READ_RETRIES = 25

ReadConfig = Callable[[RelayConfig], RelayConfig]


class ConfigReloader:
    """An actor that reloads the configuration on request; requests during a reload share the next one."""

    def __init__(
        self,
        current: Callable[[], RelayConfig],
        read_config: ReadConfig | None,
        apply_config: Callable[[RelayConfig], Awaitable[None]],
    ) -> None:
        """Make the actor.

        Args:
            current: returns the configuration in force.
            read_config: reads the configuration anew, given the one in force; without it none is read.
            apply_config: puts a configuration in force.
        """
        self.requested = asyncio.Event()
        self._current = current
        self._read_config = read_config
        self._apply_config = apply_config

    async def run(self) -> None:
        """Reload on each request until cancelled; requests during a reload cause one more."""
        while True:
            await self.requested.wait()
            self.requested.clear()
            new = await self._read()
            if new is not None:
                await self._apply_config(new)

    async def _read(self) -> RelayConfig | None:
        """Return the new configuration; None where it can't be had, so that the old one stays in force."""
        if self._read_config is None:
            return None
        try:
            return await self._read_when_possible(self._read_config)
        except ConfigError as error:
            log.error("configuration rejected, the old one stays in force error=%s", error)
        except Exception:
            # A fault that no check foresaw must not end the relay either.
            log.exception("configuration could not be read, the old one stays in force")
        return None

    async def _read_when_possible(self, read_config: ReadConfig) -> RelayConfig:
        """Read the configuration, and retry while files cannot be read at the moment.

        The operator will not request the reload a second time.

        Raises:
            ConfigError: the configuration is invalid, or still unreadable after the last retry.
        """
        for _ in range(MAX_READ_RETRIES):
            try:
                return self._read_now(read_config)
            except ConfigUnreadableError as error:
                if not error.is_transient:
                    raise
                log.warning(
                    "configuration not readable now retry_s=%.1f error=%s", READ_RETRY_INTERVAL_S, error
                )
            await asyncio.sleep(READ_RETRY_INTERVAL_S)
        return self._read_now(read_config)

    def _read_now(self, read_config: ReadConfig) -> RelayConfig:
        with DESCRIPTOR_RESERVE.borrow():  # clients may hold all other descriptors
            return read_config(self._current())


def log_config_applied(old: RelayConfig, new: RelayConfig) -> None:
    """Log that ``new`` is in force, with the keys that differ and need a restart."""
    pending_keys = old.keys_needing_restart(new)
    if pending_keys:
        log.info("configuration applied needs_restart=%s", ",".join(pending_keys))
    else:
        log.info("configuration applied")

"""Reloads the configuration on SIGHUP."""

from __future__ import annotations

import asyncio
import logging
from collections.abc import Awaitable, Callable

from sageturn.config.errors import ConfigError, ConfigUnreadableError
from sageturn.config.platform import RelayConfig
from sageturn.net.descriptors import DESCRIPTOR_RESERVE

log = logging.getLogger(__name__)

READ_RETRY_INTERVAL_S = 0.2  # delay between attempts to read files that are temporarily unreadable
MAX_READ_RETRIES = 25

ReadConfig = Callable[[RelayConfig], RelayConfig]


class ConfigReloader:
    """Actor that reloads the configuration on request; requests during a reload cause one more in total."""

    def __init__(
        self,
        get_current_config: Callable[[], RelayConfig],
        read_config: ReadConfig | None,
        apply_config: Callable[[RelayConfig], Awaitable[None]],
    ) -> None:
        """Create the actor.

        Args:
            get_current_config: returns the configuration in force.
            read_config: rereads the configuration, given the one in force; None ignores requests.
            apply_config: puts a configuration in force.
        """
        self.requested = asyncio.Event()
        self._get_current_config = get_current_config
        self._read_config = read_config
        self._apply_config = apply_config

    async def run(self) -> None:
        """Reload on each request until cancelled; requests during a reload cause one more in total."""
        while True:
            await self.requested.wait()
            self.requested.clear()
            new = await self._read()
            if new is not None:
                await self._apply_config(new)

    async def _read(self) -> RelayConfig | None:
        """Return the new configuration; None if it can't be read, so that the old one stays in force."""
        if self._read_config is None:
            return None
        try:
            return await self._read_with_retries(self._read_config)
        except ConfigError as error:
            log.error("configuration rejected, the old one stays in force error=%s", error)
        except Exception:
            # An error that no validation foresees must not end the relay either.
            log.exception("configuration could not be read, the old one stays in force")
        return None

    async def _read_with_retries(self, read_config: ReadConfig) -> RelayConfig:
        """Read the configuration, and retry while its files are temporarily unreadable.

        Without retries the request would be lost, as the operator does not repeat it.

        Raises:
            ConfigError: the configuration is invalid, or still unreadable after the last retry.
        """
        for _ in range(MAX_READ_RETRIES):
            try:
                return self._read_once(read_config)
            except ConfigUnreadableError as error:
                if not error.is_transient:
                    raise
                log.warning(
                    "configuration not readable now retry_s=%.1f error=%s", READ_RETRY_INTERVAL_S, error
                )
            await asyncio.sleep(READ_RETRY_INTERVAL_S)
        return self._read_once(read_config)

    def _read_once(self, read_config: ReadConfig) -> RelayConfig:
        with DESCRIPTOR_RESERVE.borrow():  # clients may hold all other descriptors
            return read_config(self._get_current_config())


def log_config_applied(old: RelayConfig, new: RelayConfig) -> None:
    """Log that ``new`` is in force, and which of its changed keys take effect only after a restart."""
    pending_keys = old.keys_needing_restart(new)
    if pending_keys:
        log.info("configuration applied needs_restart=%s", ",".join(pending_keys))
    else:
        log.info("configuration applied")

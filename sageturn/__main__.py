"""Runs one relay in the foreground: ``python -m sageturn``."""

from __future__ import annotations

import signal

from sageturn.core.handled_signals import HANDLED_SIGNALS

# SIGHUP, SIGTERM or SIGINT may arrive during the start, and their default action ends the process at once.
# They are blocked before the rest of the program is imported, which takes a third of a second, and until
# ``Relay.run`` has installed handlers for them.
signal.pthread_sigmask(signal.SIG_BLOCK, HANDLED_SIGNALS)

import argparse
import gc
import logging
import sys
from functools import partial

import uvloop

from sageturn.config.errors import ConfigError
from sageturn.config.loader import load
from sageturn.relay import Relay
from sageturn.relay.log_output import make_log_handler
from sageturn.store.errors import LogCorruptedError


async def run_relay(relay: Relay) -> None:
    """Run ``relay`` until a signal stops it, and ignore further signals from then on.

    The interpreter restores the default actions of handled signals, though not of ignored ones, before the
    process ends. Blocking them would not suffice, since other threads may still take them.
    """
    try:
        await relay.run()
    finally:
        for handled_signal in HANDLED_SIGNALS:
            signal.signal(handled_signal, signal.SIG_IGN)


def main() -> int:
    """Run one relay until a signal stops it. Returns the exit code: 0, or 2 if the relay could not start."""
    parser = argparse.ArgumentParser(prog="sageturn", description="A relay for long-lived connections.")
    parser.add_argument(
        "--operator", metavar="FILE", help="an operator's configuration file, such as deploy/xmpp.json"
    )
    options = parser.parse_args()
    try:
        config = load(operator_file=options.operator)
    except ConfigError as error:
        print(f"sageturn: {error}", file=sys.stderr)
        return 2
    logging.basicConfig(
        level=config.log_level,
        format="%(asctime)s %(levelname)s %(name)s: %(message)s",
        handlers=[make_log_handler()],
    )
    try:
        relay = Relay(config, partial(load, None, options.operator))
    except (OSError, LogCorruptedError) as error:
        print(f"sageturn: {error}", file=sys.stderr)
        return 2
    gc.freeze()  # excludes the long-lived objects of the start from every later garbage collection
    uvloop.run(run_relay(relay))
    return 0


if __name__ == "__main__":
    sys.exit(main())

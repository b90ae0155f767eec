"""A relay for the lab: the real program, with the naive mover in the planner's place."""

from __future__ import annotations

import argparse
import logging
import signal
import sys

import uvloop

from sageturn.config.loader import load
from sageturn.lab.naive import NaiveRebalancer
from sageturn.relay import Relay


class NaiveRelay(Relay):
    def _set_rebalancing(self) -> None:
        options = self.config.operator.rebalance
        if options is not None and options.mode == "on" and self.rebalancer is None:
            self._add_rebalancer(
                NaiveRebalancer(
                    self.balancer_actor,
                    self.request_registry,
                    options,
                    self.config.seed,
                    self._tell("rebalance"),
                )
            )


def main() -> int:
    signal.pthread_sigmask(signal.SIG_BLOCK, {signal.SIGHUP})
    parser = argparse.ArgumentParser(prog="sageturn.lab.relay", description=__doc__)
    parser.add_argument("--operator", metavar="FILE", required=True)
    settled = load(operator_file=parser.parse_args().operator)
    logging.basicConfig(level=settled.log_level, format="%(asctime)s %(levelname)s %(name)s: %(message)s")
    uvloop.run(NaiveRelay(settled).run())
    return 0


if __name__ == "__main__":
    sys.exit(main())

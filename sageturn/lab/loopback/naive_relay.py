"""A relay for the lab: the real program, with the naive planner in place of the rebalancer's."""

from __future__ import annotations

import argparse
import logging
import signal
import sys

import uvloop

from sageturn.config.loader import load
from sageturn.lab.model.naive_planner import NaiveRebalancer
from sageturn.rebalance.options import RebalanceMode, RebalanceOptions
from sageturn.relay import Relay
from sageturn.relay.operator_control import RebalancingSubsystem
from sageturn.relay.supervisor import ActorSupervisor


class NaiveRebalancing(RebalancingSubsystem):
    """Runs the naive planner where the operator's file has rebalancing on, and never changes its options."""

    def apply_options(self, options: RebalanceOptions | None, actors: ActorSupervisor) -> None:
        """Turns the naive planner on; later options are ignored."""
        if options is not None and options.mode == RebalanceMode.ON and self.rebalancer is None:
            self.run_rebalancer(self.make_rebalancer(NaiveRebalancer, options), actors)


class NaiveRelay(Relay):
    """A relay whose rebalancing is the naive baseline."""

    rebalancing_type = NaiveRebalancing


def main() -> int:
    """Runs one such relay until it is told to stop. Returns the exit code."""
    signal.pthread_sigmask(signal.SIG_BLOCK, {signal.SIGHUP})
    parser = argparse.ArgumentParser(prog="sageturn.lab.loopback.naive_relay", description=__doc__)
    parser.add_argument("--operator", metavar="FILE", required=True)
    settled = load(operator_file=parser.parse_args().operator)
    logging.basicConfig(level=settled.log_level, format="%(asctime)s %(levelname)s %(name)s: %(message)s")
    uvloop.run(NaiveRelay(settled).run())
    return 0


if __name__ == "__main__":
    sys.exit(main())

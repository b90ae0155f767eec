"""Relay for the lab: the production program with the naive planner instead of the rebalance planner."""

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
    """Subsystem that runs the naive planner if the operator file sets rebalancing to on."""

    def apply_options(self, options: RebalanceOptions | None, actors: ActorSupervisor) -> None:
        """Start the naive planner with the first options whose mode is on; ignore all later ones."""
        if options is not None and options.mode == RebalanceMode.ON and self.rebalancer is None:
            self.run_rebalancer(self.make_rebalancer(NaiveRebalancer, options), actors)


class NaiveRelay(Relay):
    """Relay whose rebalancing is the naive baseline."""

    rebalancing_type = NaiveRebalancing


def main() -> int:
    """Run the relay until it is stopped by a signal. Return the exit code."""
    signal.pthread_sigmask(signal.SIG_BLOCK, {signal.SIGHUP})
    parser = argparse.ArgumentParser(prog="sageturn.lab.loopback.naive_relay", description=__doc__)
    parser.add_argument("--operator", metavar="FILE", required=True)
    config = load(operator_file=parser.parse_args().operator)
    logging.basicConfig(level=config.log_level, format="%(asctime)s %(levelname)s %(name)s: %(message)s")
    uvloop.run(NaiveRelay(config).run())
    return 0


if __name__ == "__main__":
    sys.exit(main())

"""A process with one member of the replicated store and nothing else, which runs until it is killed.

python -m sageturn.lab.store_soak.member_process NAME PORT SEED_PORT,SEED_PORT SECRET_FILE [LOG_FILE]
"""

from __future__ import annotations

import asyncio
import logging
import sys
from pathlib import Path
from random import Random

import uvloop

from sageturn.net.admission import AdmissionController, ProcessLimits
from sageturn.store.channel import read_secret
from sageturn.store.replication.member import ReplicationMember
from sageturn.store.replication.options import ReplicationOptions
from sageturn.store.store import Store

LOOPBACK = "127.0.0.1"
LIMITS = ProcessLimits(sockets=64, memory_mb=64.0)


async def run_member(name: str, port: int, seeds: list[int], secret: bytes, log_file: Path | None) -> None:
    """Run a member; without ``log_file`` its store is in memory."""
    options = ReplicationOptions(
        listen=(LOOPBACK, port),
        seeds=tuple((LOOPBACK, seed) for seed in seeds),
        secret=secret,
    )
    member = ReplicationMember(Store(name, log_file), options, AdmissionController(LIMITS), Random())
    member.start()
    await asyncio.Event().wait()


def main() -> None:
    """Run the member that the arguments describe."""
    name, port, seeds, secret_file, *log_file = sys.argv[1:]
    logging.basicConfig(level=logging.INFO, format="%(asctime)s %(levelname)s %(name)s: %(message)s")
    seed_ports = [int(seed) for seed in seeds.split(",")]
    secret = read_secret(Path(secret_file).read_text(encoding="utf-8"))
    path = Path(log_file[0]) if log_file else None
    uvloop.run(run_member(name, int(port), seed_ports, secret, path))


if __name__ == "__main__":
    main()

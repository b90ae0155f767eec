"""Writes tests/fixtures/ from the program as it stands.

The committed files were made by revision 6e0cdec. Running this again after a change of the program is only
right where a format changes on purpose; a refactoring must leave every one of these files as it is.

    .venv-dev/bin/python experiments/make_compatibility_fixtures.py [concern ...]
"""

from __future__ import annotations

import asyncio
import importlib
import inspect
import sys
from pathlib import Path

ROOT = Path(__file__).resolve().parent.parent
CONCERNS = ("store", "replication", "flows", "fronts", "states", "operators")
TEST_FILES = {"fronts": "frontends"}  # where a concern's test file is named otherwise


def main(concerns: list[str]) -> None:
    """Writes the fixtures of the concerns."""
    tests = ROOT / "tests"
    sys.path[:0] = [str(ROOT), str(tests)]
    for concern in concerns or CONCERNS:
        (test_file,) = tests.glob(f"*/test_compatibility_{TEST_FILES.get(concern, concern)}.py")
        sys.path.insert(0, str(test_file.parent))
        module = importlib.import_module(test_file.stem)
        folder = ROOT / "tests" / "fixtures" / concern
        folder.mkdir(parents=True, exist_ok=True)
        produced = module.produce_fixtures()
        files = asyncio.run(produced) if inspect.iscoroutine(produced) else produced
        for name, data in files.items():
            (folder / name).write_bytes(data)
            print(f"{concern}/{name}: {len(data)} bytes")


if __name__ == "__main__":
    main(sys.argv[1:])

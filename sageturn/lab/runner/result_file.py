"""Result files: a JSON line with the origin of the results, followed by one for each run."""

from __future__ import annotations

import json
import os
import subprocess
from importlib.metadata import PackageNotFoundError, version
from pathlib import Path
from typing import Any

from sageturn.lab.errors import ResultsMismatchError

LIBRARIES = ("numpy", "scipy", "hdrhistogram", "msgspec")

Line = dict[str, Any]  # decoded line of a result file


def library_version(name: str) -> str:
    """Return the version of an installed library; empty if it is not installed."""
    try:
        return version(name)
    except PackageNotFoundError:
        return ""


def revision(root: Path) -> str:
    """Return the output of ``git describe`` for a working tree; empty outside of one."""
    described = subprocess.run(
        ["git", "describe", "--always", "--dirty"], cwd=root, capture_output=True, text=True, check=False
    )
    return described.stdout.strip()


class Results:
    """Results in a file; a truncated or undecodable line and all lines after it are ignored."""

    def __init__(self, file: Path) -> None:
        self.file = file
        self.head: Line = {}
        self.runs: list[Line] = []
        self._complete_bytes = 0
        if file.exists():
            self._read()

    def _read(self) -> None:
        for encoded in self.file.read_bytes().splitlines(keepends=True):
            if not encoded.endswith(b"\n"):
                break
            try:
                line = json.loads(encoded)
            except ValueError:
                break
            self._complete_bytes += len(encoded)
            if not self.head:
                self.head = line
            else:
                self.runs.append(line)

    def start(self, head: Line) -> None:
        """Start a new file, or continue one after its complete lines.

        Raises:
            ResultsMismatchError: The file has results of another experiment or of other policies.
        """
        if not self.head:
            self.file.write_bytes(b"")
            self._append(head)
            self.head = head
            return
        for key in ("experiment", "policies"):
            if self.head[key] != head[key]:
                raise ResultsMismatchError(f"{self.file}: holds results of another {key}; name another file")
        with self.file.open("rb+") as out:
            out.truncate(self._complete_bytes)

    def add(self, run: Line) -> None:
        """Append a run to the file, and flush it to disk."""
        self._append(run)
        self.runs.append(run)

    def _append(self, line: Line) -> None:
        with self.file.open("ab") as out:
            out.write(json.dumps(line, separators=(",", ":")).encode() + b"\n")
            out.flush()
            os.fsync(out.fileno())

    def completed_runs(self) -> set[tuple[str, int, str]]:
        """Return the scenario, seed and variant of each run."""
        return {(run["scenario"], run["seed"], run["variant"]) for run in self.runs}

    def values(self, variant: str, metric: str) -> dict[tuple[str, int], float]:
        """Return a metric of a variant's runs, by scenario and seed."""
        return {
            (run["scenario"], run["seed"]): float(run["metrics"][metric])
            for run in self.runs
            if run["variant"] == variant
        }

"""Decision modules from other files, or from another revision of this repository."""

from __future__ import annotations

import subprocess
import sys
from functools import cache
from hashlib import blake2b
from pathlib import Path
from types import ModuleType

from sageturn import decision
from sageturn.decision.balancer import Balancer
from sageturn.lab.errors import PolicyNotFoundError

MAIN_MODULE = "balancer"
# The files that decide, each after those that it imports.
POLICY_MODULES = (
    "fleet_size",
    "rejection_streak",
    "fleet",
    "admission",
    "relief",
    "overload",
    "setup_times",
    "eligibility",
    "endpoint_score",
    "endpoint_pool",
    "group_ranking",
    "placement",
    "endpoint_watch",
    MAIN_MODULE,
)
FILE_MARK = "# ---- policy file: "  # begins the text of each file in the text of a policy


def read_policy(name: str, root: Path) -> str:
    """Returns the text of a policy: empty for the present one, a path, or ``git:REVISION``.

    A path names one file, or a folder with some of them; the others are the present ones. Raises
    PolicyNotFoundError. The text goes along with a run, so that it can be repeated.
    """
    if not name:
        return ""
    if name.startswith("git:"):
        revision = name.removeprefix("git:")
        return _join(_read_revision(name, revision, root))
    path = root / name
    try:
        if path.is_dir():
            return _join(_read_folder(path))
        module = path.stem if path.stem in POLICY_MODULES else MAIN_MODULE
        return _join({module: path.read_text(encoding="utf-8")})
    except OSError as error:
        raise PolicyNotFoundError(f"{name}: {error.strerror}") from error


def _read_folder(folder: Path) -> dict[str, str]:
    files = {module: folder / f"{module}.py" for module in POLICY_MODULES}
    sources = {module: file.read_text(encoding="utf-8") for module, file in files.items() if file.exists()}
    if not sources:
        raise PolicyNotFoundError(f"{folder}: holds none of the files {', '.join(POLICY_MODULES)} (.py)")
    return sources


def _read_revision(name: str, revision: str, root: Path) -> dict[str, str]:
    """Returns the sources that the revision has; every revision has the main module."""
    sources = {}
    for module in POLICY_MODULES:
        object_name = f"{revision}:sageturn/decision/{module}.py"
        shown = subprocess.run(
            ["git", "show", object_name], cwd=root, capture_output=True, text=True, check=False
        )
        if not shown.returncode:
            sources[module] = shown.stdout
        elif module == MAIN_MODULE:
            raise PolicyNotFoundError(f"{name}: {shown.stderr.strip()}")
    return sources


def _join(sources: dict[str, str]) -> str:
    return "".join(f"{FILE_MARK}{module}\n{source}" for module, source in sources.items())


def _split(text: str) -> dict[str, str]:
    """Returns the sources in a policy's text by module; a text without marks is the main module."""
    if not text.startswith(FILE_MARK):
        return {MAIN_MODULE: text}
    sources: dict[str, str] = {}
    for marked in text.split(FILE_MARK)[1:]:
        module, _, source = marked.partition("\n")
        sources[module] = source
    return sources


@cache
def load_policy(text: str) -> type[Balancer]:
    """Returns the class ``Balancer`` of a policy's text, whose interface is the present one's."""
    if not text:
        return Balancer
    sources = _split(text)
    package = f"sageturn_policy_{blake2b(text.encode(), digest_size=6).hexdigest()}"
    present: dict[str, ModuleType] = {}
    try:
        for name in POLICY_MODULES:
            # Modules that follow import this one in the present one's place, until all are loaded.
            replaced = f"{decision.__name__}.{name}"
            present[replaced] = sys.modules[replaced]
            source = sources.get(name) or Path(str(present[replaced].__file__)).read_text(encoding="utf-8")
            module = ModuleType(f"{package}.{name}")
            sys.modules[module.__name__] = module
            exec(compile(source, module.__name__, "exec"), module.__dict__)
            sys.modules[replaced] = module
    finally:
        sys.modules.update(present)
    balancer: type[Balancer] = module.__dict__["Balancer"]
    return balancer

"""Loader of decision modules from other files, or from another revision of this repository."""

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
# Modules of the decision package that a policy may replace, each after those that it imports.
POLICY_MODULES = (
    "adoption",
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
FILE_HEADER_PREFIX = "# ---- policy file: "  # precedes each module's source in a policy's text


def read_policy(name: str, root: Path) -> str:
    """Return the text of a policy; empty for the current one.

    Result files record the text, so that a run can be repeated.

    Args:
        name: Empty for the current policy, a path, or ``git:REVISION``. A path names one module's file, or a
            folder with some of them; the others are those of the working tree.
        root: The folder that paths are relative to, and whose repository has the revision.

    Raises:
        PolicyNotFoundError: The path or the revision cannot be read, or has no policy module.
    """
    if not name:
        return ""
    if name.startswith("git:"):
        revision = name.removeprefix("git:")
        return _join_sources(_read_revision(name, revision, root))
    path = root / name
    try:
        if path.is_dir():
            return _join_sources(_read_folder(path))
        module = path.stem if path.stem in POLICY_MODULES else MAIN_MODULE
        return _join_sources({module: path.read_text(encoding="utf-8")})
    except OSError as error:
        raise PolicyNotFoundError(f"{name}: {error.strerror}") from error


def _read_folder(folder: Path) -> dict[str, str]:
    files = {module: folder / f"{module}.py" for module in POLICY_MODULES}
    sources = {module: file.read_text(encoding="utf-8") for module, file in files.items() if file.exists()}
    if not sources:
        raise PolicyNotFoundError(f"{folder}: holds none of the files {', '.join(POLICY_MODULES)} (.py)")
    return sources


def _read_revision(name: str, revision: str, root: Path) -> dict[str, str]:
    """Return the sources of the revision by module; modules that it lacks are left out.

    Every revision has the main module.

    Raises:
        PolicyNotFoundError: The revision has no main module, or does not exist.
    """
    sources = {}
    for module in POLICY_MODULES:
        object_name = f"{revision}:sageturn/decision/{module}.py"
        git_show = subprocess.run(
            ["git", "show", object_name], cwd=root, capture_output=True, text=True, check=False
        )
        if not git_show.returncode:
            sources[module] = git_show.stdout
        elif module == MAIN_MODULE:
            raise PolicyNotFoundError(f"{name}: {git_show.stderr.strip()}")
    return sources


def _join_sources(sources: dict[str, str]) -> str:
    return "".join(f"{FILE_HEADER_PREFIX}{module}\n{source}" for module, source in sources.items())


def _split_sources(text: str) -> dict[str, str]:
    """Return the sources in a policy's text by module; a text without headers is the main module."""
    if not text.startswith(FILE_HEADER_PREFIX):
        return {MAIN_MODULE: text}
    sources: dict[str, str] = {}
    for section in text.split(FILE_HEADER_PREFIX)[1:]:
        module, _, source = section.partition("\n")
        sources[module] = source
    return sources


@cache
def load_policy(text: str) -> type[Balancer]:
    """Return the class ``Balancer`` of a policy's text, which has the interface of the current one."""
    if not text:
        return Balancer
    sources = _split_sources(text)
    package = f"sageturn_policy_{blake2b(text.encode(), digest_size=6).hexdigest()}"
    original_modules: dict[str, ModuleType] = {}
    try:
        for name in POLICY_MODULES:
            # Replaces the current module in sys.modules, so that the policy's later modules import this one.
            qualified_name = f"{decision.__name__}.{name}"
            original_modules[qualified_name] = sys.modules[qualified_name]
            source = sources.get(name) or Path(str(original_modules[qualified_name].__file__)).read_text(
                encoding="utf-8"
            )
            module = ModuleType(f"{package}.{name}")
            sys.modules[module.__name__] = module
            exec(compile(source, module.__name__, "exec"), module.__dict__)
            sys.modules[qualified_name] = module
    finally:
        sys.modules.update(original_modules)
    balancer: type[Balancer] = module.__dict__["Balancer"]
    return balancer

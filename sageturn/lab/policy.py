"""A decision module from elsewhere: another file, or another revision of this repository."""

from __future__ import annotations

import subprocess
import sys
from functools import cache
from hashlib import blake2b
from pathlib import Path
from types import ModuleType

from sageturn.decision.balancer import Balancer

RULES = "sageturn/decision/balancer.py"


def read_policy(name: str, root: Path) -> str:
    """The text of a policy: empty for the present one, a file's path, or ``git:REVISION``.

    Raises ValueError with what is wrong. The text goes along with a run, so that it can be repeated.
    """
    if not name:
        return ""
    if not name.startswith("git:"):
        try:
            return (root / name).read_text(encoding="utf-8")
        except OSError as error:
            raise ValueError(f"{name}: {error.strerror}") from None
    wanted = f"{name.removeprefix('git:')}:{RULES}"
    shown = subprocess.run(["git", "show", wanted], cwd=root, capture_output=True, text=True, check=False)
    if shown.returncode:
        raise ValueError(f"{name}: {shown.stderr.strip()}")
    return shown.stdout


@cache
def load_policy(text: str) -> type[Balancer]:
    """The ``Balancer`` of such a text, in the present one's place; its interface is the same."""
    if not text:
        return Balancer
    module = ModuleType(f"sageturn_policy_{blake2b(text.encode(), digest_size=6).hexdigest()}")
    sys.modules[module.__name__] = module
    exec(compile(text, module.__name__, "exec"), module.__dict__)
    found: type[Balancer] = module.__dict__["Balancer"]
    return found

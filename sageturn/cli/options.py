"""Options that several commands have."""

from __future__ import annotations

from pathlib import Path
from typing import Annotated

import typer

Connect = Annotated[
    str, typer.Option("--connect", metavar="HOST:PORT", envvar="SAGETURN_CONNECT", help="A daemon's store.")
]
SecretFile = Annotated[
    Path, typer.Option(envvar="SAGETURN_SECRET_FILE", help="The secret that the replicas share.")
]
AsJson = Annotated[bool, typer.Option("--json", help="One JSON value in place of text.")]

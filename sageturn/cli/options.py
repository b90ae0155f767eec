"""Options that several commands share."""

from __future__ import annotations

from pathlib import Path
from typing import Annotated

import typer

Connect = Annotated[
    str,
    typer.Option(
        "--connect", metavar="HOST:PORT", envvar="SAGETURN_CONNECT", help="Address of a daemon's store."
    ),
]
SecretFile = Annotated[
    Path, typer.Option(envvar="SAGETURN_SECRET_FILE", help="File with the secret that the replicas share.")
]
AsJson = Annotated[bool, typer.Option("--json", help="Print one JSON value instead of text.")]

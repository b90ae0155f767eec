#!/bin/sh
# The stand-ins are Python, run with the relay's own .venv, and need nothing that the deploy file's build has not
# installed. This only checks that they compile and that their libraries are there.
cd "$(dirname "$0")/.." || exit 1
for file in review/[0-9]*/*.py; do
    .venv/bin/python -B -c 'import sys; compile(open(sys.argv[1]).read(), sys.argv[1], "exec")' "$file" || exit 1
done
.venv/bin/python -B -c 'import scramp, tomllib, uvloop, sageturn'

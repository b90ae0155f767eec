#!/bin/sh
# Builds the stand-ins of the cases 6 to 10, after the build of the deploy file. They are Python files that need
# only the relay's own environment: nothing is fetched, and a file that does not compile fails the build.
root=$(CDPATH= cd -- "$(dirname -- "$0")/.." && pwd) || exit 1
cd "$root" || exit 1
[ -x .venv/bin/python ] || { echo "run the build of deploy/balancer.toml first"; exit 1; }
for file in review/standins-2/*.py review/6/*.py review/7/*.py review/8/*.py review/9/*.py review/10/*.py; do
    [ -f "$file" ] || continue
    .venv/bin/python -c 'import sys; compile(open(sys.argv[1], encoding="utf-8").read(), sys.argv[1], "exec")' "$file" || exit 1
done
exec .venv/bin/python -B -c 'import sageturn.store.store, sageturn.frontends.xmpp.accounts, scramp'

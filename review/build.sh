#!/usr/bin/env bash
# The stand-ins are Python and need only the libraries under target/deps, which the build of the deploy file has put
# there. Checks that they can be imported.
set -eu
cd "$(dirname "$0")/.."
PYTHONPATH="$PWD:$PWD/target/deps" PYTHONDONTWRITEBYTECODE=1 python3 -c "import review.standins"

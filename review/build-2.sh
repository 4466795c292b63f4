#!/usr/bin/env bash
# Builds the stand-ins of the cases 4 to 8: they are Python, so they are compiled and imported once. Needs no network.
# Run it after the `build` command of deploy/service.toml, whose libraries the stand-ins use.
set -euo pipefail
cd "$(dirname "$0")/.."
PYTHONPATH="review:target/deps" python3 -m compileall -q review/standins2
PYTHONPATH="review:target/deps" python3 -c "import standins2.harness"

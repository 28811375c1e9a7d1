#!/usr/bin/env bash
# Builds what the scripts of review/ start besides the project's own programs. Both sets of
# stand-ins are Python files and use only what the deploy file's build puts under target/deps, so
# this only checks that they can be imported.
set -euo pipefail
cd "$(dirname "$0")/.."
PYTHONPATH="target/deps:tests:review/common" python3 -c '
import deployment, memorylimit, readers, requesters
import standins.caller, standins.relays, standins.relaytarget, standins.rowstore, standins.server
'

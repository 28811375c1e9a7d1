#!/bin/sh
# Builds what the scripts under review/4 to review/8 start. The stand-ins in review/parts2 run in the
# scripts' own processes, need the standard library only, and are just compiled here as a check. The
# nodes' libraries come from the build of deploy/system.toml, which has run before.
set -e
cd "$(dirname "$0")/.."
test -d target/deps
out=$(mktemp -d)
trap 'rm -rf "$out"' EXIT
for file in review/parts2/*.py review/[4-8]/*.py; do
    python3 -c "import py_compile, sys; py_compile.compile(sys.argv[1], sys.argv[2], doraise=True)" \
        "$file" "$out/compiled.pyc"
done

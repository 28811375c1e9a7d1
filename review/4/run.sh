#!/bin/sh
# Shows that one answer stops a node. TROUBLE=0: an answer of the same size with another text.
cd "$(dirname "$0")" || exit 2
exec python3 hang.py

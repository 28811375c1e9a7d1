"""Starts a node from a checkout: its packages are found beside this file."""

import sys
from pathlib import Path

_ROOT = Path(__file__).resolve().parent.parent
sys.path[:0] = [
    str(_ROOT / "packages" / "core" / "src"),
    str(_ROOT / "packages" / "node" / "src"),
    str(_ROOT / "packages" / "relay" / "src"),
    str(_ROOT / "platform"),
]

from camphorshelf_platform.main import main  # noqa: E402

main()

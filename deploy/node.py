"""Starts a node from a checkout: its packages are found beside this file."""

import gc
import sys
import time
from pathlib import Path

# Importing takes up to a second on a small host.
_STARTED_AT = time.clock_gettime(time.CLOCK_BOOTTIME)

# Nearly all that is made while importing lives as long as the process; the node goes on collecting
# once it has started.
gc.disable()

_ROOT = Path(__file__).resolve().parent.parent
sys.path[:0] = [
    str(_ROOT / "packages" / "core" / "src"),
    str(_ROOT / "packages" / "node" / "src"),
    str(_ROOT / "packages" / "relay" / "src"),
    str(_ROOT / "platform"),
]

# circuits declares a namespace by pkg_resources where that can be imported, and by pkgutil
# otherwise. The import takes a third of a start and a sixth of the node's memory, and nothing else
# here uses it.
sys.modules["pkg_resources"] = None

from camphorshelf_platform.main import main  # noqa: E402

main(_STARTED_AT)

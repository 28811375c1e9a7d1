"""Starts a node from a checkout without installing its packages."""

import gc
import signal
import sys
import time
from pathlib import Path

# By default SIGHUP ends a process. Until the node handles it there is nothing to reload: the
# settings have not been read yet, or will be read again within seconds.
signal.signal(signal.SIGHUP, signal.SIG_IGN)

# Taken before the imports, which take up to one second on a small host.
_STARTED_AT = time.clock_gettime(time.CLOCK_BOOTTIME)

# Nearly all objects created while importing live as long as the process. The node enables garbage
# collection again when it has started.
gc.disable()

_ROOT = Path(__file__).resolve().parent.parent
sys.path[:0] = [
    str(_ROOT / "packages" / "core" / "src"),
    str(_ROOT / "packages" / "node" / "src"),
    str(_ROOT / "packages" / "relay" / "src"),
    str(_ROOT / "platform"),
]

# circuits declares a namespace package with pkg_resources if that can be imported, and with pkgutil
# otherwise. Importing pkg_resources takes a third of the startup time and a sixth of the node's
# memory, and nothing else in the node uses it.
sys.modules["pkg_resources"] = None

from camphorshelf_platform.main import main  # noqa: E402

main(_STARTED_AT)

"""The platform's memory limit: a process that exceeds it is killed, and started again."""

import signal
import threading
import time
from pathlib import Path

_POLL_SECONDS = 0.01
_RESTART_SECONDS = 0.5


class MemoryLimit:
    """Watches the nodes' peak memory, as the kernel reports it for each process.

    :param deployment: the deployment.
    :param limit_mb: ``self.limits.memory_mb`` of the settings; taken as MiB, the larger unit.
    """

    def __init__(self, deployment, limit_mb):
        self._deployment = deployment
        self._limit_kb = limit_mb * 1024
        self._stopped = threading.Event()
        # When each node was killed, its name, and its peak memory in MiB.
        self.kills = []
        self.peaks_mb = dict.fromkeys(deployment.names, 0)
        self._thread = threading.Thread(target=self._watch)
        self._thread.start()

    def stop(self):
        """Stop watching."""
        self._stopped.set()
        self._thread.join()

    def _watch(self):
        while not self._stopped.wait(_POLL_SECONDS):
            for name in self._deployment.names:
                peak_kb = self._peak_kb(name)
                self.peaks_mb[name] = max(self.peaks_mb[name], peak_kb // 1024)
                if peak_kb > self._limit_kb:
                    self._kill(name, peak_kb)

    def _kill(self, name, peak_kb):
        process = f"node-{name}"
        self._deployment.signal(process, signal.SIGKILL)
        self._deployment.wait_end(process)
        self.kills.append((time.time(), name, peak_kb // 1024))
        time.sleep(_RESTART_SECONDS)
        self._deployment.start_node(name)

    def _peak_kb(self, name):
        try:
            status = Path(f"/proc/{self._deployment.pid(f'node-{name}')}/status").read_text()
        except OSError:
            return 0
        lines = [line for line in status.splitlines() if line.startswith("VmHWM:")]
        return int(lines[0].split()[1]) if lines else 0

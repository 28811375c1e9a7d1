"""Processes of a test on loopback: started, signalled, waited for and ended."""

import os
import signal
import socket
import subprocess
import tempfile
import time
from pathlib import Path

_TESTS = Path(__file__).resolve().parent.parent
_START_SECONDS = 20.0
_STOP_SECONDS = 10.0


class Processes:
    """Separate processes, each with a log of its own."""

    def __init__(self, node_paths=()):
        self._directory = tempfile.TemporaryDirectory(prefix="camphorshelf-")
        self._node_paths = list(node_paths)
        self._processes = {}

    @property
    def directory(self):
        """Where settings and logs are, as a path."""
        return Path(self._directory.name)

    def signal(self, process, number):
        """Send a signal to ``node-NAME``, ``target-NAME`` or ``platform``."""
        self._processes[process].send_signal(number)

    def wait_end(self, process):
        """Wait for a process to end and give its exit status."""
        return self._processes[process].wait(_STOP_SECONDS)

    def has_ended(self, process):
        """Whether a started process is gone."""
        return self._processes[process].poll() is not None

    def pid(self, process):
        """The process id of a started process."""
        return self._processes[process].pid

    def log(self, process):
        """What a process has written so far."""
        return (self.directory / f"{process}.log").read_text()

    def wait_until(self, condition, seconds=_START_SECONDS):
        """Wait for a condition to hold; raises TimeoutError when it does not."""
        end = time.monotonic() + seconds
        while time.monotonic() < end:
            if condition():
                return
            time.sleep(0.02)
        raise TimeoutError(f"the condition did not come to hold; {self._describe()}")

    def _describe(self):
        ended = {name: one.poll() for name, one in self._processes.items()}
        ended = {name: status for name, status in ended.items() if status is not None}
        logs = {name: self.log(name)[-500:] for name in self._processes}
        return f"ended: {ended}, logs: {logs}"

    def close(self):
        """End every process that was started and remove the files."""
        for process in self._processes.values():
            if process.poll() is None:
                process.send_signal(signal.SIGCONT)
                process.kill()
        for process in self._processes.values():
            process.wait()
        self._directory.cleanup()

    def _start(self, name, command, **variables):
        environment = {
            **os.environ,
            **variables,
            "PYTHONPATH": os.pathsep.join([*self._node_paths, str(_TESTS)]),
        }
        with open(self.directory / f"{name}.log", "ab") as log:
            self._processes[name] = subprocess.Popen(
                command, env=environment, stdout=log, stderr=log
            )

    def _wait(self, address):
        host, port = address.split(":")

        def connects():
            try:
                socket.create_connection((host, int(port)), timeout=1).close()
            except OSError:
                return False
            return True

        self.wait_until(connects)

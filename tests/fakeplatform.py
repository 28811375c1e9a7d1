"""An in-memory platform for random tests that loses responses and delays or drops writes."""

from enum import Enum

from camphorshelf_core.confirm import UNKNOWN, CompareAndSetRow, ReadObject, ReadRow, WriteObject


class Fault(Enum):
    """The fault that is injected into one operation."""

    NONE = "none"
    ANSWER_LOST = "answer lost"
    APPLIED_LATE = "applied late"
    REQUEST_LOST = "request lost"


class FakePlatform:
    """Stores rows and objects, and returns the outcomes that the steps in ``confirm`` expect."""

    def __init__(self, on_swap=lambda operation: None):
        self.down = False
        self.late = []
        self._rows = {}
        self._objects = {}
        self._on_swap = on_swap

    def row(self, partition, key):
        """Return a row with its version, or None, whatever faults are injected."""
        return self._rows.get((partition, key))

    def run(self, operation, fault=Fault.NONE):
        """Execute an operation with a fault and return its outcome."""
        if self.down or fault is Fault.REQUEST_LOST:
            return UNKNOWN
        if fault is Fault.APPLIED_LATE:
            self.late.append(operation)
            return UNKNOWN
        outcome = self._apply(operation)
        return UNKNOWN if fault is Fault.ANSWER_LOST else outcome

    def land(self):
        """Apply the oldest delayed operation."""
        self._apply(self.late.pop(0))

    def _apply(self, operation):
        if isinstance(operation, ReadRow):
            return self._rows.get((operation.partition, operation.key), (None,))[0]
        if isinstance(operation, ReadObject):
            return self._objects.get(operation.key)
        if isinstance(operation, WriteObject):
            self._objects[operation.key] = operation.data
            return True
        return self._swap(operation)

    def _swap(self, operation):
        assert isinstance(operation, CompareAndSetRow)
        row_key = (operation.partition, operation.key)
        _, version = self._rows.get(row_key, (None, None))
        if version != operation.expected:
            return False
        self._rows[row_key] = (operation.data, (version or 0) + 1)
        self._on_swap(operation)
        return True


def run_to_end(steps, platform, faults=()):
    """Run steps to their end and return the result; the first operations get the given faults."""
    faults = list(faults)
    outcome = None
    while True:
        try:
            operation = steps.send(outcome)
        except StopIteration as end:
            return end.value
        outcome = platform.run(operation, faults.pop(0) if faults else Fault.NONE)

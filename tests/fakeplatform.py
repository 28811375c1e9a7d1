"""A platform in memory for random runs: answers are lost, writes apply late or never."""

from enum import Enum

from camphorshelf_core.confirm import UNKNOWN, CompareAndSetRow, ReadObject, ReadRow, WriteObject


class Fault(Enum):
    """What goes wrong with one operation."""

    NONE = "none"
    ANSWER_LOST = "answer lost"
    APPLIED_LATE = "applied late"
    REQUEST_LOST = "request lost"


class FakePlatform:
    """Rows and objects with the outcomes that the procedures of ``confirm`` know."""

    def __init__(self, on_swap=lambda operation: None):
        self.down = False
        self.late = []
        self._rows = {}
        self._objects = {}
        self._on_swap = on_swap

    def row(self, partition, key):
        """Look at a row past all faults."""
        return self._rows.get((partition, key))

    def run(self, operation, fault=Fault.NONE):
        """Carry out an operation and give its outcome."""
        if self.down or fault is Fault.REQUEST_LOST:
            return UNKNOWN
        if fault is Fault.APPLIED_LATE:
            self.late.append(operation)
            return UNKNOWN
        outcome = self._apply(operation)
        return UNKNOWN if fault is Fault.ANSWER_LOST else outcome

    def land(self):
        """Apply the oldest late operation, whatever has happened since."""
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
        place = (operation.partition, operation.key)
        _, version = self._rows.get(place, (None, None))
        if version != operation.expected:
            return False
        self._rows[place] = (operation.data, (version or 0) + 1)
        self._on_swap(operation)
        return True


def run_to_end(steps, platform, faults=()):
    """Run a procedure; the faults befall its first operations in this order."""
    faults = list(faults)
    outcome = None
    while True:
        try:
            operation = steps.send(outcome)
        except StopIteration as end:
            return end.value
        outcome = platform.run(operation, faults.pop(0) if faults else Fault.NONE)

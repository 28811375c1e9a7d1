"""Runs the core package's procedures against the platform."""

from returns.result import Success

from camphorshelf_core.confirm import UNKNOWN, CompareAndSetRow, ReadObject, ReadRow, WriteObject
from camphorshelf_core.errors import Code, ProtocolError, Refusal
from camphorshelf_core.table import WriteOutcome

_COMPARE_AND_SET_RESULTS = {WriteOutcome.APPLIED: True, WriteOutcome.LOST: False}


def run_steps(steps, platform, on_done):
    """Run a procedure until it returns.

    :param steps: a generator of the core package's ``confirm`` module.
    :param platform: the node's :class:`~camphorshelf_node.platform.Platform`.
    :param on_done: called with what the procedure returns, or with a refusal when the platform
        returns data that cannot be decoded.
    :return: None.
    """

    def proceed(outcome):
        try:
            operation = steps.send(outcome)
        except StopIteration as end:
            on_done(end.value)
        except ProtocolError as error:
            on_done(Refusal(Code.CORRUPT_CONFIGURATION, str(error)))
        else:
            _OPERATIONS[type(operation)](platform, operation, proceed)

    proceed(None)


def _read_row(platform, operation, on_done):
    def done(result):
        if not isinstance(result, Success):
            on_done(UNKNOWN)
            return
        row = result.unwrap()
        on_done(None if row is None else row.data)

    platform.get(operation.partition, operation.key, done)


def _compare_and_set_row(platform, operation, on_done):
    def done(written):
        on_done(_COMPARE_AND_SET_RESULTS.get(written.outcome, UNKNOWN))

    platform.put_if(operation.partition, operation.key, operation.data, operation.expected, done)


def _read_object(platform, operation, on_done):
    def done(result):
        on_done(result.unwrap() if isinstance(result, Success) else UNKNOWN)

    platform.get_object(f"/{operation.key}", done)


def _write_object(platform, operation, on_done):
    def done(outcome):
        on_done(True if outcome is WriteOutcome.APPLIED else UNKNOWN)

    platform.put_object(f"/{operation.key}", operation.data, done)


_OPERATIONS = {
    ReadRow: _read_row,
    CompareAndSetRow: _compare_and_set_row,
    ReadObject: _read_object,
    WriteObject: _write_object,
}

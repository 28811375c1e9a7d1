"""Decodes data that others have written, and checks the values in it.

Other writers may leave anything in the places that nodes read. What can't be read must end as a
:class:`~camphorshelf_core.errors.ProtocolError`, which each reader handles, and never as another
exception, which would end the task that reads.
"""

import json

import cbor2

from .errors import ProtocolError

# What decoding and converting values of unexpected types, depths and sizes may raise.
MALFORMED_ERRORS = (
    ArithmeticError,
    AttributeError,
    LookupError,
    RecursionError,
    TypeError,
    ValueError,
    cbor2.CBORDecodeError,
)
# Numbers beyond this can't be multiplied, or converted to a float, without care.
_MAX_NUMBER = 2**62


def load_json(data):
    """Decode JSON.

    :param data: the text or bytes.
    :return: the decoded value.
    :raises ProtocolError: if it isn't valid JSON, or nested too deeply.
    """
    try:
        return json.loads(data)
    except MALFORMED_ERRORS as error:
        # The representation of a decoding error holds the whole data.
        raise ProtocolError(f"invalid JSON: {type(error).__name__}: {error}") from None


def load_cbor(data):
    """Decode CBOR.

    :param data: the bytes.
    :return: the decoded value.
    :raises ProtocolError: if it isn't valid CBOR, or nested too deeply.
    """
    try:
        return cbor2.loads(data)
    except MALFORMED_ERRORS as error:
        raise ProtocolError(f"invalid CBOR: {type(error).__name__}: {error}") from error


def is_number(value):
    """Tell whether a decoded value is a number to calculate with.

    :param value: a value of any type.
    :return: whether it is a finite number of a usual size, and not a boolean.
    """
    is_numeric = isinstance(value, int | float) and not isinstance(value, bool)
    return is_numeric and -_MAX_NUMBER <= value <= _MAX_NUMBER


def is_integer(value):
    """Tell whether a decoded value is an integer of a usual size, and not a boolean."""
    return isinstance(value, int) and is_number(value)


def is_printable_text(value):
    """Tell whether a decoded value is a text, not empty, that may become a part of a header."""
    return isinstance(value, str) and bool(value) and value.isprintable()

"""The filters that each caller's request passes before it is dispatched."""

from camphorshelf_core.calls import header
from camphorshelf_core.errors import Code, Refusal

from .headers import DEADLINE_HEADER

_MAX_CALLER_BYTES = 64


def make_chain(filters, handler):
    """Join filters and a handler into one function.

    :param filters: functions that take an exchange and the function that processes it next.
    :param handler: takes an exchange that passed all filters.
    :return: a function that takes an exchange.
    """
    next_step = handler
    for filter_ in reversed(filters):
        next_step = _bind(filter_, next_step)
    return next_step


def _bind(filter_, next_step):
    return lambda exchange: filter_(exchange, next_step)


def make_service_filter(is_known_service):
    """Make the filter that reads the service from the Host header.

    :param is_known_service: takes a service's name and returns whether it is known.
    :return: the filter.
    """

    def read_service(exchange, proceed):
        host = header(exchange.request.headers, b"host")
        if host is None:
            exchange.refuse(Refusal(Code.BAD_REQUEST, "a Host header is required"))
            return
        exchange.service = host.split(b":")[0].split(b".")[0].decode("latin-1").lower()
        if not is_known_service(exchange.service):
            reason = "no such service, or none of its targets is known yet"
            exchange.refuse(Refusal(Code.UNKNOWN_SERVICE, reason, retry_after_ms=1000))
            return
        proceed(exchange)

    return read_service


def make_caller_filter(settings):
    """Make the filter that identifies the caller; a target's slots are shared among callers.

    :param settings: the :class:`~camphorshelf_core.settings.GateSettings`.
    :return: the filter.
    """
    name = settings.caller_header.encode() if settings.caller_header else None

    def identify_caller(exchange, proceed):
        value = header(exchange.request.headers, name) if name else None
        if value:
            exchange.caller = value[:_MAX_CALLER_BYTES].decode("latin-1")
        else:
            exchange.caller = exchange.peer
        proceed(exchange)

    return identify_caller


def make_deadline_filter(limits, loop):
    """Make the filter that reads the deadline header.

    :param limits: the :class:`~camphorshelf_core.settings.LimitSettings`.
    :param loop: the node's loop.
    :return: the filter.
    """

    def read_deadline(exchange, proceed):
        value = header(exchange.request.headers, DEADLINE_HEADER)
        if value is None:
            milliseconds = limits.default_deadline_ms
        elif value.isdigit() and len(value) < 10 and int(value) > 0:
            milliseconds = min(int(value), limits.max_deadline_ms)
        else:
            reason = "Deadline-Ms must be a whole number of milliseconds above 0"
            exchange.refuse(Refusal(Code.BAD_DEADLINE, reason))
            return
        # Counted from the arrival: the deadline includes the time that a pipelined request waited
        # for the responses before its own.
        exchange.deadline = exchange.received + milliseconds / 1000
        if exchange.deadline <= loop.now():
            reason = "the deadline passed before the call's turn came"
            exchange.refuse(Refusal(Code.DEADLINE_UNREACHABLE, reason))
            return
        proceed(exchange)

    return read_deadline

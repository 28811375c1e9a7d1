"""A caller's connection on a fake stream; the test answers its requests itself."""

from camphorshelf_core.settings import LimitSettings
from camphorshelf_node.filters import make_chain, make_deadline_filter
from camphorshelf_node.http import HttpConnection

from .caller import ResponseReader
from .fakes import FakeLoop, FakeStream


def connect(context, failing=0, may_overlap=None, refusal=None, **limits):
    """Open a caller's connection and store it and its exchanges in the context.

    :param context: behave's context.
    :param failing: how many of the first requests raise an exception in their handler.
    :param may_overlap: as for :class:`HttpConnection`.
    :param refusal: the refusal of each request, sent by its handler; None to answer in the test.
    :param limits: fields of :class:`LimitSettings`.
    :return: None.
    """
    context.loop, context.stream, context.exchanges = FakeLoop(), FakeStream(), []
    context.faults, context.cancelled, context.answered = [], [], 0
    limits = LimitSettings(**limits)

    def handle(exchange):
        context.exchanges.append(exchange)
        if len(context.exchanges) <= failing:
            raise RuntimeError("a fault for this test")
        exchange.set_disconnect_handler(lambda: context.cancelled.append(exchange))
        if refusal is not None:
            exchange.refuse(refusal)

    chain = make_chain([make_deadline_filter(limits, context.loop)], handle)
    context.connection = HttpConnection(
        context.stream,
        limits,
        context.loop,
        chain,
        context.faults.append,
        may_overlap=may_overlap,
    )


def read_answers(context, method="GET"):
    """Read all responses that were sent to the caller.

    :param context: behave's context.
    :param method: the method of the requests.
    :return: a list of :class:`~standins.caller.Response`.
    """
    reader = ResponseReader(context.stream.sent)
    responses = []
    while reader.remaining:
        responses.append(reader.read(method))
    return responses

"""A caller's connection on a fake stream, with a node that answers when it is told to."""

from camphorshelf_core.settings import LimitSettings
from camphorshelf_node.filters import make_chain, make_deadline_filter
from camphorshelf_node.http import HttpConnection

from .caller import AnswerReader
from .fakes import FakeLoop, FakeStream


def connect(context, failing=0, may_overlap=None, **limits):
    """Open a caller's connection and keep all that comes of it in the context.

    :param context: behave's context.
    :param failing: how many of the first requests fail inside the node.
    :param may_overlap: as for :class:`HttpConnection`.
    :param limits: fields of :class:`LimitSettings`.
    :return: None.
    """
    context.loop, context.stream, context.exchanges = FakeLoop(), FakeStream(), []
    context.faults, context.cancelled, context.answered = [], [], 0
    limits = LimitSettings(**limits)

    def take(exchange):
        context.exchanges.append(exchange)
        if len(context.exchanges) <= failing:
            raise RuntimeError("a fault for this test")
        exchange.set_disconnect_handler(lambda: context.cancelled.append(exchange))

    chain = make_chain([make_deadline_filter(limits, context.loop)], take)
    context.connection = HttpConnection(
        context.stream,
        limits,
        context.loop,
        chain,
        context.faults.append,
        may_overlap=may_overlap,
    )


def read_answers(context, method="GET"):
    """Read all that the caller was sent.

    :param context: behave's context.
    :param method: the method of the requests.
    :return: a list of answers.
    """
    reader = AnswerReader(context.stream.sent)
    answers = []
    while reader.left:
        answers.append(reader.read(method))
    return answers

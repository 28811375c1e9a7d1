"""Keeps calls away while the configuration is not proved, and lets its version ride on answers."""

from camphorshelf_core.messages import RefusedMessage


def make_configuration_filter(configuration):
    """Make the filter that refuses callers while the configuration may be an older one.

    :param configuration: the node's :class:`~camphorshelf_node.config.Configuration`.
    :return: the filter.
    """

    def check(exchange, proceed):
        refusal = configuration.find_refusal()
        if refusal is None:
            proceed(exchange)
        else:
            exchange.refuse(refusal)

    return check


def guard_calls(handle, gatekeeper, configuration):
    """Wrap the handler of peers' calls in the same check.

    A woken or fresh node may not know yet that its own target is leaving; an entry node that
    does not know either would get new work through this door.

    :param handle: the handler of :class:`~camphorshelf_core.messages.CallMessage`.
    :param gatekeeper: the node's :class:`~camphorshelf_node.gatekeeper.Gatekeeper`.
    :param configuration: the node's :class:`~camphorshelf_node.config.Configuration`.
    :return: the guarded handler.
    """

    def guarded(message, reply):
        def stamp(answer):
            load = answer.load._replace(config_version=configuration.local_version.version)
            reply(answer._replace(load=load))

        refusal = configuration.find_refusal()
        if refusal is None:
            return handle(message, stamp)
        code, reason, ran, retry_after_ms = refusal
        refused = RefusedMessage(0, int(code), reason, ran.value, retry_after_ms, gatekeeper.load)
        stamp(refused)
        return None

    return guarded


def make_call_id_filter(incarnation):
    """Make the filter that gives each call an id, by which operators can ask about it.

    :param incarnation: the node's own, so that no other node gives the same ids.
    :return: the filter.
    """
    count = 0

    def name_call(exchange, proceed):
        nonlocal count
        count += 1
        exchange.call_id = f"{incarnation}-{count}"
        proceed(exchange)

    return name_call

"""Refuses calls while the configuration isn't proved current; adds its version to answers."""

from camphorshelf_core.messages import RefusedMessage


def make_configuration_filter(configuration):
    """Make the filter that refuses callers' requests while the configuration isn't proved current.

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


def guard_calls(handle, admission_controller, configuration):
    """Wrap the handler of peers' calls to refuse them while the configuration isn't proved current.

    A node that has just started or resumed may not know yet that its own target is leaving.
    Without the check, an entry node that does not know either could send it new calls.

    :param handle: the handler of :class:`~camphorshelf_core.messages.CallMessage`.
    :param admission_controller: the node's
        :class:`~camphorshelf_node.admissioncontroller.AdmissionController`.
    :param configuration: the node's :class:`~camphorshelf_node.config.Configuration`.
    :return: the wrapped handler.
    """

    def guarded(message, reply):
        def reply_with_version(answer):
            load = answer.load._replace(config_version=configuration.local_version.version)
            reply(answer._replace(load=load))

        refusal = configuration.find_refusal()
        if refusal is None:
            return handle(message, reply_with_version)
        code, reason, ran, retry_after_ms = refusal
        refused = RefusedMessage(
            0, int(code), reason, ran.value, retry_after_ms, admission_controller.load
        )
        reply_with_version(refused)
        return None

    return guarded


def make_call_id_filter(incarnation):
    """Make the filter that gives each call an id, by which operators can look it up.

    :param incarnation: the node's incarnation, which makes the ids unique among all nodes.
    :return: the filter.
    """
    count = 0

    def assign_call_id(exchange, proceed):
        nonlocal count
        count += 1
        exchange.call_id = f"{incarnation}-{count}"
        proceed(exchange)

    return assign_call_id

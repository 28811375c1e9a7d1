"""Steps that determine for each node whether it polls the store."""

from behave import given, then, when

from camphorshelf_core.storepollers import is_default_poller, is_poller


def _others(name, names, lacking):
    return [(other, other in lacking) for other in names if other != name]


def _pollers(names, lacking):
    return {name for name in names if is_poller(name, _others(name, names, lacking))}


@given("{count:d} nodes with store access")
def nodes(context, count):
    context.names = [f"host-{number}" for number in range(count)]
    context.lacking = set()


@when("the pollers lose their store access")
def lose_access(context):
    context.before = _pollers(context.names, context.lacking)
    context.lacking |= context.before


@when("one of the pollers fails")
def poller_fails(context):
    polling = _pollers(context.names, context.lacking)
    failed = min(polling)
    context.names.remove(failed)
    context.before = polling - {failed}


@when("a partition splits them into halves")
def halves(context):
    middle = len(context.names) // 2
    context.halves = context.names[:middle], context.names[middle:]


@then("{count:d} of them poll")
def some_poll(context, count):
    assert len(_pollers(context.names, context.lacking)) == count


@then("{count:d} others poll as well")
def others_poll(context, count):
    now = _pollers(context.names, context.lacking)
    assert len(now - context.before) == count, now


@then("{count:d} poll on each side")
def each_side(context, count):
    for half in context.halves:
        assert len(_pollers(half, context.lacking)) == count


@when("each node that polls loses its store access")
def all_lose_access(context):
    context.waves = []
    while new := _pollers(context.names, context.lacking) - context.lacking:
        context.waves.append(len(new))
        context.lacking |= new


@then("at most {count:d} nodes poll at the same time, and all have polled")
def check_waves(context, count):
    assert max(context.waves) <= count, context.waves
    assert context.lacking == set(context.names)


@then("{count:d} nodes keep polling every second")
def check_default(context, count):
    default_pollers = [
        name
        for name in context.names
        if is_default_poller(name, _others(name, context.names, context.lacking))
    ]
    assert len(default_pollers) == count, default_pollers

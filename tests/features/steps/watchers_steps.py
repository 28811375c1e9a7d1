"""Steps that ask each node whether it would watch the store."""

from behave import given, then, when

from camphorshelf_core.watchers import watches


def _watching(names, served):
    return {
        name
        for name in names
        if watches(name, [(other, other in served) for other in names if other != name])
    }


@given("{count:d} nodes that the store answers")
def nodes(context, count):
    context.names = [f"host-{number}" for number in range(count)]
    context.served = set(context.names)


@when("the store answers none of those that watch")
def turned_away(context):
    context.before = _watching(context.names, context.served)
    context.served -= context.before


@when("they are cut into halves that do not hear each other")
def halves(context):
    middle = len(context.names) // 2
    context.halves = context.names[:middle], context.names[middle:]


@then("{count:d} of them watch")
def some_watch(context, count):
    assert len(_watching(context.names, context.served)) == count


@then("{count:d} others watch as well")
def others_watch(context, count):
    now = _watching(context.names, context.served)
    assert len(now & context.served) == count, now


@then("{count:d} watch on each side")
def each_side(context, count):
    for half in context.halves:
        assert len(_watching(half, context.served)) == count

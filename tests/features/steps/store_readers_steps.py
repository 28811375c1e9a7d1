"""Steps that ask each node whether it would read the store."""

from behave import given, then, when

from camphorshelf_core.storereaders import keeps_trying, reads_store


def _others(name, names, refused):
    return [(other, other in refused) for other in names if other != name]


def _reading(names, refused):
    return {name for name in names if reads_store(name, _others(name, names, refused))}


@given("{count:d} nodes that the store answers")
def nodes(context, count):
    context.names = [f"host-{number}" for number in range(count)]
    context.refused = set()


@when("the store answers none of those that read")
def turned_away(context):
    context.before = _reading(context.names, context.refused)
    context.refused |= context.before


@when("one of those that read is gone")
def reader_gone(context):
    reading = _reading(context.names, context.refused)
    gone = min(reading)
    context.names.remove(gone)
    context.before = reading - {gone}


@when("they are cut into halves that do not hear each other")
def halves(context):
    middle = len(context.names) // 2
    context.halves = context.names[:middle], context.names[middle:]


@then("{count:d} of them read")
def some_read(context, count):
    assert len(_reading(context.names, context.refused)) == count


@then("{count:d} others read as well")
def others_read(context, count):
    now = _reading(context.names, context.refused)
    assert len(now - context.before) == count, now


@then("{count:d} read on each side")
def each_side(context, count):
    for half in context.halves:
        assert len(_reading(half, context.refused)) == count


@when("it turns away each node that tries")
def turn_all_away(context):
    context.waves = []
    while new := _reading(context.names, context.refused) - context.refused:
        context.waves.append(len(new))
        context.refused |= new


@then("at most {count:d} nodes try in one moment, and all have tried")
def check_waves(context, count):
    assert max(context.waves) <= count, context.waves
    assert context.refused == set(context.names)


@then("{count:d} go on trying every second")
def check_trying(context, count):
    trying = [
        name
        for name in context.names
        if keeps_trying(name, _others(name, context.names, context.refused))
    ]
    assert len(trying) == count, trying

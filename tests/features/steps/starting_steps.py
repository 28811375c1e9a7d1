"""Steps about the imports of a node, its garbage collection and a late first scrape."""

import gc
import re
import subprocess
import sys
from pathlib import Path

from behave import given, then, when

from camphorshelf_relay.metrics import Metrics
from camphorshelf_relay.node import exclude_imports_from_gc

_ROOT = Path(__file__).resolve().parents[3]
_LIST_MODULES = """
import gc
import sys
before = sum(one["collections"] for one in gc.get_stats())
source = open(sys.argv[1]).read().replace("main(_STARTED_AT)", "")
__file__ = sys.argv[1]
exec(source)
print(sum(one["collections"] for one in gc.get_stats()) - before)
print(" ".join(name for name, module in sys.modules.items() if module is not None))
"""


@when("a node's program is imported as the deploy file does it")
def import_program(context):
    program = str(_ROOT / "deploy" / "node.py")
    command = [sys.executable, "-c", _LIST_MODULES, program]
    done = subprocess.run(command, capture_output=True, text=True, check=True)
    context.collections, *context.modules = done.stdout.split()


@then('neither "{first}" nor "{second}" nor "{third}" was imported')
def check_modules(context, first, second, third):
    assert "camphorshelf_relay.node" in context.modules
    assert not {first, second, third} & set(context.modules)


@then("no garbage collection ran meanwhile")
def check_collections(context):
    assert int(context.collections) == 0, context.collections


@given("a process that has disabled garbage collection")
def disable_collection(context):
    context.add_cleanup(gc.set_threshold, *gc.get_threshold())
    context.add_cleanup(gc.unfreeze)
    context.add_cleanup(gc.enable)
    gc.disable()


@when("the node in it has started")
def has_started(context):
    exclude_imports_from_gc()


@then("garbage collection is enabled, and earlier objects are excluded from it")
def check_collected(context):
    assert gc.isenabled()
    assert gc.get_freeze_count() > len(gc.get_objects())


@given("a node's metrics that nobody has scraped")
def unscraped_metrics(context):
    context.metrics = Metrics()


@when("{count:d} requests of {milliseconds:d} ms were answered")
def answered(context, count, milliseconds):
    for _ in range(count):
        context.metrics.record_request("r-start", "200", milliseconds / 1000)


def _read(text, suffix):
    line = rf'^camphorshelf_request_duration_seconds_{suffix}\{{.*route="r-start".*\}} (\S+)$'
    return float(re.search(line, text, re.MULTILINE).group(1))


@then("the first scrape reports {count:d} requests of {milliseconds:d} ms")
def first_scrape(context, count, milliseconds):
    text = context.metrics.render().decode()
    assert _read(text, "count") == count, text
    assert abs(_read(text, "sum") - count * milliseconds / 1000) < 1e-9


@then("the second scrape reports {count:d} requests after one more")
def second_scrape(context, count):
    context.metrics.record_request("r-start", "200", 0.02)
    text = context.metrics.render().decode()
    assert _read(text, "count") == count, text
    assert re.search(r"^camphorshelf_requests_total\{.*\} 4\.0$", text, re.MULTILINE), text

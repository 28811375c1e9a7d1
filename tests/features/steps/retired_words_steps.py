"""Steps that search source files for retired words."""

import tempfile
from pathlib import Path

from behave import given, then, when
from retired_words import RetiredWord, find_uses, read_list

_ROOT = Path(__file__).resolve().parents[3]


@given('a source line "{line}" in "{name}"')
def source_line(context, line, name):
    directory = tempfile.TemporaryDirectory(prefix="camphorshelf-")
    context.add_cleanup(directory.cleanup)
    context.root = Path(directory.name)
    path = context.root / name
    path.parent.mkdir(parents=True)
    path.write_text(f"{line}\n")


@when('the sources are searched for the retired word "{word}" with the term "{term}"')
def search(context, word, term):
    context.uses = find_uses(context.root, [RetiredWord(word, term, "")])


@when('the sources but "{directory}" are searched for "{word}" with the term "{term}"')
def search_except(context, directory, word, term):
    context.uses = find_uses(context.root, [RetiredWord(word, term, directory)])


@then('the use is reported as "{text}"')
def reported(context, text):
    assert context.uses == [text], context.uses


@then("no use is reported")
def not_reported(context):
    assert context.uses == [], context.uses


@then("the sources have no word of the list")
def sources_clean(context):
    words = read_list((_ROOT / "tests" / "retired-words.txt").read_text())
    uses = find_uses(_ROOT, words)
    assert words and uses == [], uses

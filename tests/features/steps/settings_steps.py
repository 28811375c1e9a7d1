"""Steps that check settings files with the real programs."""

import subprocess
import sys
import tempfile
from pathlib import Path

from behave import then, when

_ROOT = Path(__file__).resolve().parent.parent.parent.parent
_VALID = (_ROOT / "examples" / "cumberland.json").read_text()
_INVALID = (
    ('name: "counter-1"', 'name: "Counter 1"', "name: ", "'Counter 1'"),
    ('name: "counter-1",', "", "name: is required", ""),
    ("10.1.0.11:8401", "south:8401", "listen.callers: ", "'south:8401'"),
    ("10.1.0.11:8401", "10.1.0.11:99999", "listen.callers: ", "IP:PORT"),
    ("timeout_ms: 500", "timeout_ms: 0", "platform.timeout_ms: ", "saw 0"),
    ("timeout_ms: 500", 'timeout_ms: "500"', "platform.timeout_ms: ", "saw '500'"),
    ("timeout_ms: 500", "timeout_ms: true", "platform.timeout_ms: ", "saw True"),
    ("timeout_ms: 500", "timeout: 500", "platform.timeout: is an unknown field", "saw 500"),
    ("9f86d081884c7d65", "zz", "administration.tokens.0.sha256: ", "zz"),
    ("roster: {", "rooster: {", "rooster: is an unknown field", "contacts"),
    ("default_deadline_ms", "body_bytes", "not JSON with comments", "body_bytes"),
    ("listen: {", "listen: [", "not JSON with comments", ""),
)


@then("camphorshelf check accepts every file in examples")
def check_examples(_context):
    paths = sorted((_ROOT / "examples").iterdir())
    assert len(paths) >= 2
    for path in paths:
        done = _run("camphorshelf", "check", str(path))
        assert done.returncode == 0, done.stderr


@when("each invalid settings file is checked")
def check_invalid_files(context):
    context.checks = []
    for valid, invalid, field, seen in _INVALID:
        assert valid in _VALID
        path, done = _run_with(_VALID.replace(valid, invalid, 1), "camphorshelf", "check")
        context.checks.append((path, field, seen, done))


@then("each check exits 2 and names the file, the field and the value")
def check_named(context):
    for path, field, seen, done in context.checks:
        assert done.returncode == 2, (field, done)
        assert f"{path}: {field}" in done.stderr, (field, done.stderr)
        assert seen in done.stderr and "Traceback" not in done.stderr, done.stderr


@when("camphorshelf-node is started with an unknown field in its settings")
def start_node(context):
    text = _VALID.replace("limits: {", "limits: { head_byte: 5,", 1)
    _, context.run = _run_with(text, "camphorshelf-node", "--settings")


@then('it exits with status {status:d} and prints "{text}"')
def check_end(context, status, text):
    assert context.run.returncode == status, context.run
    assert text in context.run.stderr and "Traceback" not in context.run.stderr


def _run_with(text, program, argument):
    with tempfile.NamedTemporaryFile("w", suffix=".json") as file:
        file.write(text)
        file.flush()
        return file.name, _run(program, argument, file.name)


def _run(program, *arguments):
    path = Path(sys.executable).with_name(program)
    return subprocess.run([path, *arguments], capture_output=True, text=True, timeout=60)

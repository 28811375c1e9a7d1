"""The commands of the operators' program."""

import hashlib
import json
import secrets
import sys
from importlib.metadata import version as read_version
from urllib.parse import quote

import json5
from returns.result import Success

from camphorshelf_core.settings import read_settings

from .client import node_address, send_request
from .logs import find_hops, render_hops
from .tables import render_explanation, render_history, render_plan, render_status

EXIT_BAD_USAGE = 2
EXIT_NO_CONNECTION = 3
EXIT_NOT_FOUND = 4
# Result codes of the administration API are 401 and up, exit codes end at 255: 401 gives 11.
_EXIT_BASE = 390
_TOKEN_BYTES = 32


class Commands:
    """Plan, confirm and inspect the configuration of a camphorshelf deployment.

    The node is given by --node IP:PORT or CAMPHORSHELF_NODE. The operator's token is read from
    CAMPHORSHELF_TOKEN, or from the file that CAMPHORSHELF_TOKEN_FILE names.
    """

    def plan(self, *intents, file=None, node=None, json=False):
        """Plan changes and show their effect, without applying them.

        :param intents: each like "counter/a1 leave", "counter/a1 weight=50",
            "counter domain:fd-a leave", "counter owner=flock", "counter POST class=deferrable",
            "counter POST idempotent=yes" or "counter caller:shop-7 share=30".
        :param file: a JSON5 file with the intents, instead of arguments.
        :param node: IP:PORT of the node.
        :param json: print JSON.
        """
        updates = _read_file(file) if file is not None else [_parse_intent(one) for one in intents]
        _request_and_print("POST", "/v1/plans", node, json, render_plan, {"intents": updates})

    def show(self, plan, node=None, json=False):
        """Show a stored plan.

        :param plan: the plan's digest.
        :param node: IP:PORT of the node.
        :param json: print JSON.
        """
        _request_and_print("GET", f"/v1/plans/{_quote_segment(plan)}", node, json, render_plan)

    def confirm(self, plan, node=None, json=False):
        """Confirm a plan, which puts it in force; may be repeated.

        :param plan: the plan's digest.
        :param node: IP:PORT of the node.
        :param json: print JSON.
        """
        path = f"/v1/plans/{_quote_segment(plan)}/confirm"
        _request_and_print(
            "POST", path, node, json, lambda one: f"version {one['version']} is in force"
        )

    def status(self, node=None, json=False):
        """Show the targets of the team's services, their state and the intents for them.

        :param node: IP:PORT of the node.
        :param json: print JSON.
        """
        _request_and_print("GET", "/v1/status", node, json, render_status)

    def history(self, limit=20, node=None, json=False):
        """Show the newest confirmed versions.

        :param limit: the maximum number of versions.
        :param node: IP:PORT of the node.
        :param json: print JSON.
        """
        _request_and_print(
            "GET", f"/v1/history?limit={_quote_segment(limit)}", node, json, render_history
        )

    def explain(self, call, node=None, json=False, logs=None):
        """Show why a call was routed as it was.

        :param call: the id from the response header Camphorshelf-Call, or with --logs the caller's
            id of the request.
        :param node: the node that accepted the call.
        :param json: print JSON.
        :param logs: the path of saved logs of the hosts, or a pattern of paths, to read instead of
            asking a node.
        """
        if logs is not None:
            _explain_from_logs(str(call), logs, json)
            return
        _request_and_print(
            "GET", f"/v1/explain/{_quote_segment(call)}", node, json, render_explanation
        )

    def check(self, path):
        """Check a settings file.

        :param path: the file's path.
        """
        result = read_settings(path)
        if not isinstance(result, Success):
            _exit_with(EXIT_BAD_USAGE, result.failure())
        print(f"{path}: the settings are valid")

    def token(self):
        """Create a token, and its hash for the nodes' settings."""
        token = secrets.token_urlsafe(_TOKEN_BYTES)
        print(f"token   {token}")
        print(f"sha256  {hashlib.sha256(token.encode()).hexdigest()}")

    def version(self):
        """Show the version of this program."""
        print(read_version("camphorshelf-cli"))


def _explain_from_logs(request, pattern, as_json):
    hops = find_hops(request, pattern)
    if not hops:
        _exit_with(EXIT_NOT_FOUND, f"no log line of request {request} in {pattern}")
    print(json.dumps([hop._asdict() for hop in hops], indent=2) if as_json else render_hops(hops))


def _request_and_print(method, path, node, as_json, render, document=None):
    result = send_request(node_address(node), method, path, document)
    if not isinstance(result, Success):
        _exit_with(EXIT_NO_CONNECTION, result.failure())
    answer = result.unwrap()
    refused = "code" in answer.document
    if as_json:
        print(json.dumps(answer.document, indent=2))
    elif not refused:
        print(render(answer.document))
    if refused:
        _print_refusal(answer.document, as_json)
        sys.exit(answer.document["code"] - _EXIT_BASE)


def _print_refusal(document, as_json):
    print(f"{document['code']} {document['name']}: {document['error']}", file=sys.stderr)
    if not as_json and document.get("fresh_plan"):
        print("plan of the same changes, based on the version in force:", file=sys.stderr)
        print(render_plan(document["fresh_plan"]), file=sys.stderr)


def _read_file(path):
    try:
        with open(path, encoding="utf-8") as file:
            document = json5.loads(file.read())
    except OSError as error:
        _exit_with(EXIT_BAD_USAGE, f"{path}: {error.strerror}")
    except ValueError as error:
        _exit_with(EXIT_BAD_USAGE, f"{path}: not valid JSON5: {error}")
    return document.get("intents") if isinstance(document, dict) else document


_STATES = frozenset({"take", "leave"})
_BOOLEANS = {"yes": True, "no": False}
_NUMBER_FIELDS = frozenset({"weight", "share"})


def _parse_intent(text):
    """Parse an intent of the command line into a document of the API."""
    resource, *parts = str(text).split()
    service, slash, target = resource.partition("/")
    intent = {"service": service}
    if slash:
        intent["target"] = target
    for part in parts:
        intent.update(_parse_part(part, text))
    return intent


def _parse_part(part, text):
    key, equals, value = part.partition("=")
    if part in _STATES:
        return {"state": part}
    if part.startswith("domain:"):
        return {"domain": part.removeprefix("domain:")}
    if part.startswith("caller:"):
        return {"caller": part.removeprefix("caller:")}
    if not equals:
        if not part.isupper():
            _exit_with(
                EXIT_BAD_USAGE, f"{text!r}: {part!r} is not understood; see camphorshelf plan -h"
            )
        return {"method": part}
    if key in _NUMBER_FIELDS and value.isdigit():
        return {key: int(value)}
    if key == "idempotent":
        return {key: _BOOLEANS.get(value, value)}
    return {"request_class" if key == "class" else key: value}


def _quote_segment(value):
    return quote(str(value), safe="")


def _exit_with(code, text):
    print(text, file=sys.stderr)
    sys.exit(code)

"""An operator in tests: calls the administration API of nodes with the token of a team."""

import hashlib
import json

from standins.caller import call


def administration(teams):
    """Make a node's settings with a token for each team.

    :param teams: the services that each team may own, by team.
    :return: the section ``administration`` of the settings.
    """
    return {
        "administration": {
            "tokens": [
                {"team": team, "sha256": _hash(team), "services": list(services)}
                for team, services in teams.items()
            ]
        }
    }


def token_of(team):
    """Return the token of a team."""
    return f"token-of-{team}"


def ask(deployment, node, method, path, team=None, document=None):
    """Send a request to the administration API of a node.

    :param deployment: the :class:`~standins.deployment.Deployment`.
    :param node: the name of the node.
    :param method: the HTTP method.
    :param path: the path.
    :param team: the team whose token is sent; None for no token.
    :param document: the JSON document to send; None for an empty body.
    :return: the HTTP status and the JSON document of the response.
    """
    headers = () if team is None else (("Authorization", f"Bearer {token_of(team)}"),)
    body = b"" if document is None else json.dumps(document).encode()
    response = call(deployment.nodes[node].admin, method, "node", path, headers, body)
    return response.status, json.loads(response.body)


def plan(deployment, node, team, *intents):
    """Plan intents; return the HTTP status and the document."""
    return ask(deployment, node, "POST", "/v1/plans", team, {"intents": list(intents)})


def confirm(deployment, node, team, digest):
    """Confirm a plan; return the HTTP status and the document."""
    return ask(deployment, node, "POST", f"/v1/plans/{digest}/confirm", team)


def change(deployment, node, team, *intents):
    """Plan and confirm intents; return the version that the change made."""
    _, planned = plan(deployment, node, team, *intents)
    status, confirmed = confirm(deployment, node, team, planned["plan"])
    assert status == 200, confirmed
    return confirmed["version"]


def version_at(deployment, node):
    """Return the version in force at a node."""
    return ask(deployment, node, "GET", "/v1/status", "flock")[1]["version"]


def wait_version(deployment, nodes, version):
    """Wait until a version, or a later one, is in force at all nodes."""
    deployment.wait_until(
        lambda: all(version_at(deployment, node) >= version for node in nodes), seconds=60
    )


def _hash(team):
    return hashlib.sha256(token_of(team).encode()).hexdigest()

"""Stand-in of an operator: asks nodes' administration APIs with a team's token."""

import hashlib
import json

from standins.caller import call


def administration(teams):
    """Make the settings that know each team's token; its services are its own to take."""
    return {
        "administration": {
            "tokens": [
                {"team": team, "sha256": _hash(team), "services": list(services)}
                for team, services in teams.items()
            ]
        }
    }


def token_of(team):
    """The token of a team, in tests only made from its name."""
    return f"token-of-{team}"


def ask(deployment, node, method, path, team=None, document=None):
    """Ask a node; give the HTTP status and the document."""
    headers = () if team is None else (("Authorization", f"Bearer {token_of(team)}"),)
    body = b"" if document is None else json.dumps(document).encode()
    answer = call(deployment.nodes[node].admin, method, "node", path, headers, body)
    return answer.status, json.loads(answer.body)


def plan(deployment, node, team, *intents):
    """Plan intents; give the status and the document."""
    return ask(deployment, node, "POST", "/v1/plans", team, {"intents": list(intents)})


def confirm(deployment, node, team, digest):
    """Confirm a plan; give the status and the document."""
    return ask(deployment, node, "POST", f"/v1/plans/{digest}/confirm", team)


def change(deployment, node, team, *intents):
    """Plan and confirm; give the version that is in force then."""
    _, planned = plan(deployment, node, team, *intents)
    status, confirmed = confirm(deployment, node, team, planned["plan"])
    assert status == 200, confirmed
    return confirmed["version"]


def version_at(deployment, node):
    """The version in force at a node."""
    return ask(deployment, node, "GET", "/v1/status", "flock")[1]["version"]


def wait_version(deployment, nodes, version):
    """Wait until the version is in force at all nodes."""
    deployment.wait_until(
        lambda: all(version_at(deployment, node) >= version for node in nodes), seconds=60
    )


def _hash(team):
    return hashlib.sha256(token_of(team).encode()).hexdigest()

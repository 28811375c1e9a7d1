"""The client of a node's administration API."""

import http.client
import json
import os
from typing import NamedTuple

from returns.result import Failure, Result, Success

from camphorshelf_core.responsesyntax import is_valid_head

DEFAULT_NODE = "127.0.0.1:8403"
NODE_VARIABLE = "CAMPHORSHELF_NODE"
TOKEN_VARIABLE = "CAMPHORSHELF_TOKEN"
TOKEN_FILE_VARIABLE = "CAMPHORSHELF_TOKEN_FILE"
_TIMEOUT_SECONDS = 20.0


class Response(NamedTuple):
    """A node's response: the HTTP status and the decoded body."""

    status: int
    document: dict


def node_address(node):
    """Return the address of the node to send requests to.

    :param node: the address from the command line, or None.
    :return: ``IP:PORT`` from the command line, the environment or the default.
    """
    return node or os.environ.get(NODE_VARIABLE, DEFAULT_NODE)


def find_token():
    """Read the operator's token from the environment or a file.

    It can't be given on the command line, which other users of the machine can read.

    :return: the token, or None.
    :raises OSError: if the token file cannot be read.
    """
    path = os.environ.get(TOKEN_FILE_VARIABLE)
    if path is None:
        return os.environ.get(TOKEN_VARIABLE)
    with open(path, encoding="utf-8") as file:
        return file.read().strip()


def send_request(node, method, path, document=None) -> Result[Response, str]:
    """Send a request.

    :param node: ``IP:PORT`` of the node's administration listener.
    :param method: the HTTP method.
    :param path: the request's path.
    :param document: the document to send as JSON, or None.
    :return: ``Success`` of the :class:`Response`, or ``Failure`` of a sentence with the reason.
    """
    try:
        token = find_token()
    except OSError as error:
        return Failure(f"the token file {error.filename} cannot be read: {error.strerror}")
    headers = {} if token is None else {"Authorization": f"Bearer {token}"}
    body = None if document is None else json.dumps(document)
    try:
        connection = http.client.HTTPConnection(node, timeout=_TIMEOUT_SECONDS)
        connection.request(method, path, body, headers)
        response = connection.getresponse()
        headers = [(name.encode(), value.encode()) for name, value in response.getheaders()]
        if not is_valid_head(response.status, headers):
            return Failure(f"the response from {node} has an invalid status or header")
        return Success(Response(response.status, json.loads(response.read())))
    except ConnectionRefusedError:
        return Failure(f"no node listens for operators at {node}")
    except TimeoutError:
        return Failure(f"the node at {node} did not answer in {_TIMEOUT_SECONDS:g} s")
    except http.client.InvalidURL:
        return Failure(f"{node} is not an address of the form IP:PORT")
    except (OSError, http.client.HTTPException) as error:
        return Failure(f"the connection to {node} failed: {error or type(error).__name__}")
    except ValueError:
        return Failure(
            f"the response from {node} is not JSON: it is not a node's administration listener"
        )

"""Free ports on the loopback address."""

import socket


def free_address():
    """Return the address of a free port, as ``IP:PORT``."""
    with socket.create_server(("127.0.0.1", 0)) as sock:
        return f"127.0.0.1:{sock.getsockname()[1]}"


def split_address(address):
    """Return the pair of IP address and port of an ``IP:PORT``."""
    host, port = address.split(":")
    return host, int(port)

"""The load report that rides on every answer of a target's node."""

from typing import NamedTuple


class LoadReport(NamedTuple):
    """What a target's node knows of its target at the moment of answering.

    Times are milliseconds; ``in_flight`` and ``queued`` are exact counts. ``config_version`` is
    the version of the configuration by which the node acted.
    """

    in_flight: int
    queued: int
    slots: int
    latency_ms: float
    leaving: bool = False
    config_version: int = 0

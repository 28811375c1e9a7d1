"""Measures the cost of membership and the time to detect failures, on a simulated network.

``fleet.py [--sizes 12,30,79,195] [--loss 0.03]`` prints a row for each size: the idle datagrams and
bytes per second and node, the time until all nodes know of a killed host, and, when half of the
fleet is killed and restarted, the time until 999 of 1,000 views are correct and the datagrams of
the busiest node in its busiest second.
"""

import sys
from pathlib import Path

import fire

sys.path.insert(0, str(Path(__file__).resolve().parent.parent / "tests"))

from standins.fleet import Fleet  # noqa: E402

_STEP_SECONDS = 0.1
_LONGEST_SECONDS = 15.0
_CALM_SECONDS = 10
# The share of views that may still be wrong.
_ODD_SHARE = 0.001


def main(sizes=(12, 30, 79, 195), loss=0.03):
    """Simulate fleets of several sizes and print the table.

    :param sizes: numbers of hosts.
    :param loss: the share of lost datagrams.
    :return: None.
    """
    print(
        "hosts  datagrams/s  bytes/s  far bytes/s  killed, s  half killed, s (peak)  back, s (peak)"
    )
    for size in sizes if isinstance(sizes, tuple | list) else (sizes,):
        _play(size, loss)


def _play(size, loss):
    fleet = Fleet(size, loss=loss)
    fleet.run(3.0)
    fleet.reset_counts()
    fleet.run(_CALM_SECONDS)
    calm = size * _CALM_SECONDS
    datagrams = sum(fleet.datagrams.values()) / calm
    sent, far = fleet.bytes / calm, fleet.cross_domain_bytes / calm
    fleet.kill([1])
    killed_s, _ = _wait(fleet, lambda: _count_dead_views(fleet) == 0)
    numbers = range(0, size, 2)
    fleet.kill(numbers)
    views = size * len(numbers) / 2
    half_s, half_peak = _wait(fleet, lambda: _count_dead_views(fleet) <= _ODD_SHARE * views)
    for number in numbers:
        fleet.start(number)
    views = (size - 1) ** 2
    back_s, back_peak = _wait(fleet, lambda: _count_missing_views(fleet) <= _ODD_SHARE * views)
    print(
        f"{size:5d}  {datagrams:11.1f}  {sent:7.0f}  {far:11.0f}  {killed_s:9.1f}"
        f"  {half_s:10.1f} ({half_peak})  {back_s:10.1f} ({back_peak})",
        flush=True,
    )


def _wait(fleet, is_done):
    """Advance the clock until a condition holds; return the seconds and the busiest second."""
    seconds, peak, window = 0.0, 0, 0.0
    fleet.reset_counts()
    while not is_done() and seconds < _LONGEST_SECONDS:
        fleet.run(_STEP_SECONDS)
        seconds += _STEP_SECONDS
        window += _STEP_SECONDS
        peak = max(peak, max(fleet.datagrams.values(), default=0))
        if window >= 1.0:
            fleet.reset_counts()
            window = 0.0
    return seconds, peak


def _count_dead_views(fleet):
    down = {host.address for host in fleet.hosts.values() if not host.is_up}
    return sum(len(down & fleet.live_views(host)) for host in fleet.up())


def _count_missing_views(fleet):
    up = {host.address for host in fleet.up()}
    return sum(len(up - fleet.live_views(host)) - 1 for host in fleet.up())


if __name__ == "__main__":
    fire.Fire(main)

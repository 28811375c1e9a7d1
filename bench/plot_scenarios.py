"""Plots the p99 of each scenario by policy from the output of bench/scenarios.py."""

import json
import statistics
from pathlib import Path

import fire
import matplotlib
import matplotlib.pyplot as plt

_COLOURS = {
    "ours": "#0b6e4f",
    "random": "#b0b0b0",
    "round_robin": "#6c8ebf",
    "least_reported": "#d79b00",
}


def draw(rows, out):
    """Plot one bar for each scenario and policy, with the range over the seeds.

    :param rows: path of the JSON rows.
    :param out: path of the SVG to write.
    :return: None.
    """
    matplotlib.rcParams["svg.hashsalt"] = "camphorshelf"
    rows = json.loads(Path(rows).read_text())
    names = list(dict.fromkeys(row["scenario"] for row in rows))
    policies = [name for name in _COLOURS if any(row["policy"] == name for row in rows)]
    figure, axes = plt.subplots(figsize=(11, 4.5))
    width = 0.8 / len(policies)
    for turn, policy in enumerate(policies):
        values = [_values(rows, name, policy) for name in names]
        middles = [statistics.median(one) for one in values]
        below = [middle - min(one) for middle, one in zip(middles, values, strict=True)]
        above = [max(one) - middle for middle, one in zip(middles, values, strict=True)]
        places = [place + turn * width for place in range(len(names))]
        style = {"capsize": 2, "color": _COLOURS[policy], "label": policy}
        axes.bar(places, middles, width, yerr=(below, above), **style)
    axes.set_yscale("log")
    axes.set_ylabel("added p99, ms (log)")
    axes.set_xticks([place + 0.4 - width / 2 for place in range(len(names))], names)
    axes.legend()
    axes.set_title("p99 of the latency beyond a call's own work; lines: least to greatest seed")
    figure.tight_layout()
    figure.savefig(out, metadata={"Date": None})


def _values(rows, scenario, policy):
    return [
        max(0.1, row["added_p99"])
        for row in rows
        if row["scenario"] == scenario and row["policy"] == policy
    ]


if __name__ == "__main__":
    fire.Fire(draw)

"""Plays days with one mechanism disabled at a time, and prints what each is worth.

``ablation.py play OUT --player PLAYER --copies DIR --sites A.toml,B.toml --days scale-1,quiet-1
--seeds 11,12 --mechanisms all --jobs 4`` makes a copy of this checkout for each mechanism below
DIR, runs PLAYER on the days there, and appends a line to the file OUT for each. Days that OUT
already contains aren't played again, so an interrupted run can be continued. ``ablation.py table
OUT`` prints the table.
"""

import csv
import re
import shutil
import statistics
import subprocess
import sys
from concurrent.futures import ThreadPoolExecutor
from pathlib import Path
from typing import NamedTuple

import fire

_ROOT = Path(__file__).resolve().parent.parent
_BASE = "base"
_PARTS = ("packages", "platform", "deploy")
_START = "\nmain()\n"
_SWITCH = """
sys.path.insert(0, str(_ROOT / "bench"))
from mechanisms import switch_off  # noqa: E402

switch_off("{name}")
"""


class Result(NamedTuple):
    """One played day.

    :param worth: the share of the possible worth that the day earned, less prices.
    :param in_time: the share of the worth that was served in time.
    :param refused: the share of the requests whose last attempt was refused.
    :param failed: the share of the requests that failed.
    :param remark: the player's remark: the day's weakest part and any broken rule.
    """

    mechanism: str
    site: str
    day: str
    seed: str
    worth: str
    in_time: str
    refused: str
    failed: str
    remark: str


def play(out, player, copies, sites, days, seeds, mechanisms="all", jobs=4):
    """Play the days that a file of results doesn't contain yet.

    :param out: the file.
    :param player: the program that plays days.
    :param copies: a directory for the copies, outside this checkout.
    :param sites: paths of sites.
    :param days: names of their days.
    :param seeds: the seeds, which are the same for all mechanisms.
    :param mechanisms: their names; ``all`` for all of them.
    :param jobs: how many days are played at the same time.
    :return: None.
    """
    names = [_BASE, *(_list_mechanisms() if mechanisms == "all" else _split(mechanisms))]
    done = {one[:4] for one in _read(out)}
    folders = {name: _copy(name, Path(copies), player) for name in names}
    plan = [
        (name, site, day, seed)
        for seed in _split(seeds)
        for site in _split(sites)
        for day in _split(days)
        for name in names
        if (name, Path(site).stem, day, seed) not in done
    ]

    def run(one):
        result = _play_one(player, folders[one[0]], *one)
        with open(out, "a", newline="") as file:
            csv.writer(file, delimiter="\t").writerow(result)
        print("\t".join(result), flush=True)

    with ThreadPoolExecutor(int(jobs)) as pool:
        list(pool.map(run, plan))


def table(out):
    """Print what each mechanism is worth: the worth with it less the worth without it, by seed.

    :param out: a file of results.
    :return: None.
    """
    results = {one[:4]: one for one in _read(out)}
    days = sorted({one[1:3] for one in results})
    names = sorted({one[0] for one in results} - {_BASE})
    print("| Without | " + " | ".join(f"{site} {day}" for site, day in days) + " | Broken |")
    print("| --- |" + " --- |" * (len(days) + 1))
    for name in [_BASE, *names]:
        cells = [_describe(results, name, site, day) for site, day in days]
        broken = [one.remark for key, one in results.items() if key[0] == name]
        rules = sorted({rule for text in broken for rule in re.findall(r"BROKEN: (\w+)", text)})
        print(f"| {name} | " + " | ".join(cells) + f" | {', '.join(rules) or '-'} |")


def _describe(results, name, site, day):
    gains = []
    for key, one in results.items():
        if key[0] != name or key[1:3] != (site, day):
            continue
        base = results.get((_BASE, *key[1:]))
        if name == _BASE:
            gains.append(float(one.worth))
        elif base is not None:
            gains.append(float(one.worth) - float(base.worth))
    if not gains:
        return "not run"
    sign = "" if name == _BASE else "+"
    least, most = min(gains), max(gains)
    return f"{statistics.mean(gains):{sign}.3f} ({least:{sign}.3f} to {most:{sign}.3f})"


def _list_mechanisms():
    text = (_ROOT / "bench" / "mechanisms.py").read_text()
    return re.findall(r'^    "([a-z-]+)": _', text, re.MULTILINE)


def _copy(name, copies, player):
    folder = copies / name
    if folder.exists():
        return folder
    subprocess.run(["git", "clone", "-q", str(_ROOT), str(folder)], check=True)
    for part in _PARTS:
        shutil.rmtree(folder / part)
        shutil.copytree(_ROOT / part, folder / part, ignore=shutil.ignore_patterns("__pycache__"))
    shutil.copy(_ROOT / "bench" / "mechanisms.py", folder / "bench" / "mechanisms.py")
    if name != _BASE:
        start = folder / "deploy" / "node.py"
        text = start.read_text()
        if _START not in text:
            raise ValueError(f"{start} doesn't end by starting a node")
        start.write_text(text.replace(_START, _SWITCH.format(name=name) + _START))
    subprocess.run([player, "build"], cwd=folder, check=True, capture_output=True)
    return folder


def _play_one(player, folder, name, site, day, seed):
    command = [player, "run", site, day, "--seed", seed, "--no-cpu", "--why", f"Trial: {name}"]
    done = subprocess.run(command, cwd=folder, capture_output=True, text=True)
    pattern = rf"^{re.escape(day)}\S*\s+\S+\s+\S+\s+(\S+)\s+(\S+)\s+(\S+)\s+(\S+)\s+(.*)$"
    found = re.search(pattern, done.stdout, re.MULTILINE)
    if found is None:
        sys.exit(f"{name} {site} {day} {seed} gave no result:\n{done.stdout}{done.stderr}")
    return Result(name, Path(site).stem, day, seed, *found.groups())


def _read(path):
    if not Path(path).exists():
        return []
    with open(path, newline="") as file:
        return [Result(*row) for row in csv.reader(file, delimiter="\t")]


def _split(words):
    if isinstance(words, list | tuple):
        return [str(word) for word in words]
    return str(words).split(",")


if __name__ == "__main__":
    fire.Fire({"play": play, "table": table})

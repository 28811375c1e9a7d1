"""Load patterns for the simulation, and what callers would suffer without an answer to them."""

from standins.simulated import Simulation


def _lookup(random):
    return random.uniform(10, 40)


def _mixed(random):
    return 300.0 if random.random() < 0.05 else random.uniform(5, 16)


def play_burst(seed, **entry):
    """Bursts fill all slots for a tenth of a second; badly placed calls queue beside free slots."""
    simulation = Simulation(seed, **entry)
    simulation.load(0.35, 4, _lookup)
    for start in (0.5, 1.3, 2.1, 2.9):
        simulation.load(0.8, 0.1, _lookup, start=start)
    return simulation


def play_skew(seed, **entry):
    """One entry node gets most calls; by reports alone it sends them all the same way."""
    simulation = Simulation(seed, **entry)
    simulation.load(0.48, 4, _lookup, entry=0)
    simulation.load(0.12, 4, _lookup, entry=1)
    return simulation


def play_slow_target(seed, **entry):
    """One target of six takes eight times as long; a sixth of all callers would wait for it."""
    simulation = Simulation(seed, **entry)
    simulation.load(0.5, 4, _lookup)
    simulation.at(0.5, lambda: setattr(simulation.targets[0], "factor", 8.0))
    return simulation


def play_mixed_length(seed, **entry):
    """Some calls work twenty times as long; short ones get stuck behind them."""
    simulation = Simulation(seed, **entry)
    simulation.load(0.6, 6, _mixed)
    return simulation


def play_many_entries(seed, **entry):
    """Thirty entry nodes know little each; they meet full targets while others stand idle."""
    simulation = Simulation(seed, targets=12, entries=30, **entry)
    simulation.load(0.6, 3, _lookup)
    return simulation


def play_saturation(seed, **entry):
    """Nearly half as much again as can be served; second attempts would come on top of it."""
    simulation = Simulation(seed, **entry)
    simulation.load(1.4, 3, _lookup, deadline_ms=500)
    return simulation


def play_fail_fast(seed, **entry):
    """One target fails at once: always idle, so the less loaded choice, so most callers fail."""
    simulation = Simulation(seed, **entry)
    simulation.load(0.5, 4, _lookup)
    simulation.at(0.5, lambda: setattr(simulation.targets[0], "failing", True))
    return simulation


def play_liar(seed, **entry):
    """A slow target reports that it is idle and fast; who believes it waits."""
    simulation = Simulation(seed, **entry)
    simulation.targets[0].lies = True
    simulation.targets[0].factor = 8.0
    simulation.load(0.5, 4, _lookup)
    return simulation


def play_stale_reports(seed, **entry):
    """Reports are renewed every 300 ms only; all go where it was idle, until the next renewal."""
    simulation = Simulation(seed, entries=6, **entry)
    for target in simulation.targets:
        target.report_period = 0.3
    simulation.load(0.6, 4, _lookup)
    return simulation


def play_neighbour(seed, **entry):
    """Each target in turn is slowed down for a third of a second; calls already there suffer."""
    simulation = Simulation(seed, **entry)
    simulation.load(0.5, 6, _lookup)
    for turn in range(13):
        target = simulation.random.choice(simulation.targets)
        start = 0.2 + 0.45 * turn
        simulation.at(start, lambda target=target: setattr(target, "factor", 4.0))
        simulation.at(start + 0.35, lambda target=target: setattr(target, "factor", 1.0))
    return simulation


PATTERNS = {
    "burst": play_burst,
    "skew": play_skew,
    "slow target": play_slow_target,
    "mixed length": play_mixed_length,
    "many entries": play_many_entries,
    "saturation": play_saturation,
    "fail fast": play_fail_fast,
    "liar": play_liar,
    "stale reports": play_stale_reports,
    "neighbour": play_neighbour,
}

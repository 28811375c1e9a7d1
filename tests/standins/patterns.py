"""Load patterns for the simulation; each says what goes wrong if the entry nodes ignore it."""

from standins.simulated import Simulation


def _draw_lookup_ms(random):
    return random.uniform(10, 40)


def _draw_mixed_ms(random):
    return 300.0 if random.random() < 0.05 else random.uniform(5, 16)


def play_burst(seed, **entry):
    """Bursts fill all slots for 100 ms: badly placed calls queue while other targets are free."""
    simulation = Simulation(seed, **entry)
    simulation.load(0.35, 4, _draw_lookup_ms)
    for start in (0.5, 1.3, 2.1, 2.9):
        simulation.load(0.8, 0.1, _draw_lookup_ms, start=start)
    return simulation


def play_skew(seed, **entry):
    """One entry node gets most calls: by reports alone, it sends them all to the same target."""
    simulation = Simulation(seed, **entry)
    simulation.load(0.48, 4, _draw_lookup_ms, entry=0)
    simulation.load(0.12, 4, _draw_lookup_ms, entry=1)
    return simulation


def play_slow_target(seed, **entry):
    """One target of six takes eight times as long: a sixth of all callers wait for it."""
    simulation = Simulation(seed, **entry)
    simulation.load(0.5, 4, _draw_lookup_ms)
    simulation.at(0.5, lambda: setattr(simulation.targets[0], "slowdown", 8.0))
    return simulation


def play_mixed_length(seed, **entry):
    """Some calls run twenty times as long as others: short ones queue behind them."""
    simulation = Simulation(seed, **entry)
    simulation.load(0.6, 6, _draw_mixed_ms)
    return simulation


def play_many_entries(seed, **entry):
    """Each of thirty entry nodes sees few calls: it chooses full targets while others are idle."""
    simulation = Simulation(seed, targets=12, entries=30, **entry)
    simulation.load(0.6, 3, _draw_lookup_ms)
    return simulation


def play_saturation(seed, **entry):
    """The load is 1.4 times the capacity: second attempts add to the overload."""
    simulation = Simulation(seed, **entry)
    simulation.load(1.4, 3, _draw_lookup_ms, deadline_ms=500)
    return simulation


def play_fail_fast(seed, **entry):
    """One target fails every call at once: it is always idle, so it is chosen most often."""
    simulation = Simulation(seed, **entry)
    simulation.load(0.5, 4, _draw_lookup_ms)
    simulation.at(0.5, lambda: setattr(simulation.targets[0], "failing", True))
    return simulation


def play_false_report(seed, **entry):
    """A slow target reports that it is idle and fast: calls sent to it by its reports wait."""
    simulation = Simulation(seed, **entry)
    simulation.targets[0].reports_idle = True
    simulation.targets[0].slowdown = 8.0
    simulation.load(0.5, 4, _draw_lookup_ms)
    return simulation


def play_stale_reports(seed, **entry):
    """Reports change only every 300 ms: until then all calls go to the target that was idle."""
    simulation = Simulation(seed, entries=6, **entry)
    for target in simulation.targets:
        target.report_period_s = 0.3
    simulation.load(0.6, 4, _draw_lookup_ms)
    return simulation


def play_neighbour(seed, **entry):
    """A random target is slow for 350 ms at a time: calls that already run there take longer."""
    simulation = Simulation(seed, **entry)
    simulation.load(0.5, 6, _draw_lookup_ms)
    for turn in range(13):
        target = simulation.random.choice(simulation.targets)
        start = 0.2 + 0.45 * turn
        simulation.at(start, lambda target=target: setattr(target, "slowdown", 4.0))
        simulation.at(start + 0.35, lambda target=target: setattr(target, "slowdown", 1.0))
    return simulation


PATTERNS = {
    "burst": play_burst,
    "skew": play_skew,
    "slow target": play_slow_target,
    "mixed length": play_mixed_length,
    "many entries": play_many_entries,
    "saturation": play_saturation,
    "fail fast": play_fail_fast,
    "liar": play_false_report,
    "stale reports": play_stale_reports,
    "neighbour": play_neighbour,
}

"""Runs random machines: a fixed set for CI, or for a time with printed seeds."""

import sys
import time

from hypothesis import HealthCheck, Phase, settings
from hypothesis.internal.conjecture import providers
from hypothesis.stateful import run_state_machine_as_test

from soak import MACHINES

# The library also draws numbers that it finds in the project's own sources, so the same examples
# would change with every edit anywhere, and with them which faults the fixed runs find.
providers._get_local_constants = providers.Constants

_COMMON = {
    "database": None,
    "deadline": None,
    "suppress_health_check": list(HealthCheck),
    "print_blob": True,
}
_ALL_PHASES = (Phase.explicit, Phase.generate, Phase.shrink)
_STEPS = 60
_EXAMPLES_PER_SEED = 300


def run_fixed(machine, examples, steps=_STEPS, shrink=True):
    """Run a machine on the same examples each time; raises on the first failure.

    A mutant is only to be caught, so its trace need not be shrunk.
    """
    chosen = settings(
        max_examples=examples,
        stateful_step_count=steps,
        derandomize=True,
        phases=_ALL_PHASES if shrink else (Phase.generate,),
        report_multiple_bugs=False,
        **_COMMON,
    )
    run_state_machine_as_test(machine, settings=chosen)


def run_seed(machine, seed, steps=_STEPS):
    """Run a machine on the examples of one seed; raises with a minimal trace on failure."""
    machine._hypothesis_internal_use_seed = seed
    chosen = settings(max_examples=_EXAMPLES_PER_SEED, stateful_step_count=steps, **_COMMON)
    run_state_machine_as_test(machine, settings=chosen)


def main(seconds, first_seed, names):
    """Run machines with one seed after another until the time is over."""
    end = time.monotonic() + seconds
    seed = first_seed
    while time.monotonic() < end:
        for name in names or MACHINES:
            try:
                run_seed(MACHINES[name], seed)
            except Exception:
                print(f"soak: {name} FAILED at seed {seed}", flush=True)
                raise
        seed += 1
    for name in names or MACHINES:
        steps = MACHINES[name].steps
        print(f"soak: {name} clean, seeds {first_seed}..{seed - 1}, {steps} steps", flush=True)


if __name__ == "__main__":
    main(float(sys.argv[1]), int(sys.argv[2]), sys.argv[3:])

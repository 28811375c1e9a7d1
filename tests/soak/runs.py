"""Runs Hypothesis state machines on fixed examples for CI, or on new seeds for a given time."""

import sys
import time

from hypothesis import HealthCheck, Phase, settings
from hypothesis.internal.conjecture import providers
from hypothesis.stateful import run_state_machine_as_test

from soak import MACHINES

# Hypothesis also draws constants that it finds in the project's sources. Any edit would then change
# the fixed examples, and with them which faults they find.
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
    """Run a machine on the same examples each time, and raise on the first failure.

    Runs of a mutant only need to fail, so they can skip shrinking the trace.
    """
    run_settings = settings(
        max_examples=examples,
        stateful_step_count=steps,
        derandomize=True,
        phases=_ALL_PHASES if shrink else (Phase.generate,),
        report_multiple_bugs=False,
        **_COMMON,
    )
    run_state_machine_as_test(machine, settings=run_settings)


def run_seed(machine, seed, steps=_STEPS):
    """Run a machine on the examples of one seed, and raise with a minimal trace on failure."""
    machine._hypothesis_internal_use_seed = seed
    run_settings = settings(max_examples=_EXAMPLES_PER_SEED, stateful_step_count=steps, **_COMMON)
    run_state_machine_as_test(machine, settings=run_settings)


def main(seconds, first_seed, names):
    """Run machines with successive seeds until the time is over."""
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

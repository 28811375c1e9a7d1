"""Random tests of the core with Hypothesis; ``MACHINES`` lists those that ``soak.runs`` runs."""

from soak.claims import ClaimsMachine

MACHINES = {
    "claims": ClaimsMachine,
}

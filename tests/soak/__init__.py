"""Random runs of the core's state machines; every machine that a soak runs is listed here."""

from soak.claims import ClaimsMachine

MACHINES = {
    "claims": ClaimsMachine,
}

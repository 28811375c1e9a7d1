"""Random tests of the core with Hypothesis; ``MACHINES`` lists those that ``soak.runs`` runs."""

from soak.claims import ClaimsMachine
from soak.quotas import QuotasMachine

MACHINES = {
    "claims": ClaimsMachine,
    "quotas": QuotasMachine,
}

"""The request path between nodes: entry, relay, admission at the target, and host statuses."""

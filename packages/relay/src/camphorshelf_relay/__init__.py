"""The request path between nodes: entry, relay, the door of the target, and host statuses."""

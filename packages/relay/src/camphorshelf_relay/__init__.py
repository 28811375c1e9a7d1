"""The request path of a node: routing, relaying, admission at the target, and host statuses."""

"""The request path between nodes: entry, relay, the target's door, and what hosts tell each other."""

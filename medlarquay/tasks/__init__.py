"""Tasks of a node: each owns sockets and state and exchanges messages."""

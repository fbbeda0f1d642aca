"""The tasks of a node, which own sockets and state and exchange messages."""

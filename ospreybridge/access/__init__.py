"""The call server on the users' platform, without I/O: calls, attempts, connections and the office list."""

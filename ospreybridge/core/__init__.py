"""The call server without I/O: circuits, calls, associations, the exchange list and the controller's host."""

"""Scripted days on loopback: their runner, the relay between processes, and the checker of the five rules."""

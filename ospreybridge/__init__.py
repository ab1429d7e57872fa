"""Decisions of a controller that sets up calls over shared groups of circuits."""

from ospreybridge.policy import Controller

__all__ = ["Controller"]

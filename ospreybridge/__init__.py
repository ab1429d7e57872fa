"""A call router that sets up calls over trunk groups; as a library, the `Controller` that decides on them."""

from ospreybridge.policy import Controller

__all__ = ["Controller"]

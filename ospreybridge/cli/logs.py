"""Structured logs on standard error: one JSON object per line, or text for people."""

from __future__ import annotations

import sys
from collections.abc import Callable

import structlog


def make_logger(log_format: str, server_name: str) -> Callable[..., None]:
    """Returns a function `log(event, **fields)`; `log_format` is "json" or "text".

    The reference of a call is logged as the field `ref`.
    """
    render = (
        structlog.processors.JSONRenderer(default=str)
        if log_format == "json"
        else structlog.dev.ConsoleRenderer(colors=sys.stderr.isatty())
    )
    structlog.configure(
        processors=[
            structlog.processors.TimeStamper(fmt="iso", utc=True),
            structlog.processors.format_exc_info,
            render,
        ],
        logger_factory=structlog.WriteLoggerFactory(file=sys.stderr),
        cache_logger_on_first_use=True,
    )
    bound = structlog.get_logger().bind(server=server_name)

    def log(event: str, **fields: object) -> None:
        bound.msg(event, **fields)

    return log

"""Structured logs on standard error."""

from __future__ import annotations

import logging
import sys
from typing import Any

import structlog

LEVELS = {"debug": logging.DEBUG, "info": logging.INFO, "warning": logging.WARNING, "error": logging.ERROR}


def configure_logging(output_format: str, level: str) -> Any:
    """Return a logger that writes JSON lines, or text for a console (`json`, `console`)."""
    renderer: Any = structlog.processors.JSONRenderer()
    if output_format == "console":
        renderer = structlog.dev.ConsoleRenderer(colors=sys.stderr.isatty())
    structlog.configure(
        processors=[
            structlog.processors.add_log_level,
            structlog.processors.TimeStamper(fmt="iso", utc=True),
            structlog.processors.format_exc_info,
            renderer,
        ],
        wrapper_class=structlog.make_filtering_bound_logger(LEVELS[level]),
        logger_factory=structlog.PrintLoggerFactory(sys.stderr),
    )
    return structlog.get_logger()

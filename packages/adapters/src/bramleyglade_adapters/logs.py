"""Logs as JSON lines."""

from __future__ import annotations

import json
import logging
from typing import TextIO

_STANDARD_FIELDS = frozenset(vars(logging.makeLogRecord({}))) | {"message", "asctime"}


class JsonLineFormatter(logging.Formatter):
    """Formats each record as one JSON object; `extra` fields are kept."""

    def format(self, record: logging.LogRecord) -> str:
        """Return the record as a line of JSON."""
        line = {
            "time": round(record.created, 3),
            "level": record.levelname,
            "logger": record.name,
            "event": record.getMessage(),
        }
        for name, value in vars(record).items():
            if name not in _STANDARD_FIELDS:
                line[name] = value
        if record.exc_info:
            line["exception"] = self.formatException(record.exc_info)
        return json.dumps(line, default=str)


def set_up_logs(level: str, stream: TextIO) -> None:
    """Send all logs of the process to a stream as JSON lines.

    Args:
        level: Name of the lowest level that is written, such as `INFO`.
        stream: Where the lines go.
    """
    handler = logging.StreamHandler(stream)
    handler.setFormatter(JsonLineFormatter())
    root = logging.getLogger()
    root.handlers[:] = [handler]
    root.setLevel(level)
    # Curio warns of each operation that ends just past a timeout.
    logging.getLogger("curio").setLevel(logging.ERROR)

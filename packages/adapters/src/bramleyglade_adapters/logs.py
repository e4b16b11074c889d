"""Logging as JSON lines, with a rate limit and without blocking."""

from __future__ import annotations

import json
import logging
import os
import time
from typing import TYPE_CHECKING, TextIO

if TYPE_CHECKING:
    from bramleyglade_core.ports.clock import Clock

_MAX_LINES_PER_SECOND = 200
"""Rate limit and burst of log lines. At the load expected in two years, a busy daemon
answers about 100 requests a second; a line costs about 30 us."""

_STANDARD_FIELDS = frozenset(vars(logging.makeLogRecord({}))) | {"message", "asctime"}


class JsonLineFormatter(logging.Formatter):
    """Formats each record as one JSON object, including its `extra` fields."""

    def format(self, record: logging.LogRecord) -> str:
        """Format a record as a line of JSON."""
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


class NonBlockingHandler(logging.Handler):
    """Writes lines to a file descriptor and never blocks.

    Lines above the rate limit, and lines for which the pipe is full, are dropped
    and counted. The count is logged before the next line that is written.
    """

    def __init__(self, descriptor: int, clock: Clock = time.monotonic) -> None:
        super().__init__()
        os.set_blocking(descriptor, False)
        self._descriptor = descriptor
        self._clock = clock
        self._pending = b""
        """Remainder of a line that was written only in part."""
        self._tokens_left = float(_MAX_LINES_PER_SECOND)
        self._refilled_at = clock()
        self._dropped = 0

    def emit(self, record: logging.LogRecord) -> None:
        """Write a record, or drop it and count it."""
        can_write = self._take_token() and self._report_dropped()
        if not can_write or not self._write(self._line(record)):
            self._dropped += 1

    def _take_token(self) -> bool:
        now = self._clock()
        refill = (now - self._refilled_at) * _MAX_LINES_PER_SECOND
        self._refilled_at = now
        self._tokens_left = min(_MAX_LINES_PER_SECOND, self._tokens_left + refill)
        if self._tokens_left < 1.0:
            return False
        self._tokens_left -= 1.0
        return True

    def _report_dropped(self) -> bool:
        """Log the number of dropped lines, if any; False if it can't be written."""
        if not self._dropped:
            return True
        record = logging.LogRecord(
            __name__, logging.WARNING, "", 0, "LogLinesDropped", None, None
        )
        record.lines = self._dropped
        if not self._write(self._line(record)):
            return False
        self._dropped = 0
        return True

    def _line(self, record: logging.LogRecord) -> bytes:
        return self.format(record).encode() + b"\n"

    def _write(self, line: bytes) -> bool:
        """Write a line, keeping a remainder as pending; False if it is dropped."""
        if not self._write_pending():
            return False
        self._pending = line
        if self._write_pending() or self._pending != line:
            return True
        self._pending = b""  # Nothing was written, so the whole line can be dropped.
        return False

    def _write_pending(self) -> bool:
        """Write the pending remainder; False if the pipe is full or closed."""
        while self._pending:
            try:
                written = os.write(self._descriptor, self._pending)
            except BlockingIOError:
                return False
            except OSError:
                # The pipe is closed, so the error can't be logged either.
                self._pending = b""
                return False
            self._pending = self._pending[written:]
        return True


def set_up_logs(level: str, stream: TextIO) -> None:
    """Write all logs of the process to a stream as JSON lines.

    Args:
        level: Name of the lowest level to write, such as `INFO`.
        stream: Stream to write to; it is set to non-blocking mode.
    """
    handler = NonBlockingHandler(stream.fileno())
    handler.setFormatter(JsonLineFormatter())
    root = logging.getLogger()
    root.handlers[:] = [handler]
    root.setLevel(level)
    # Curio logs a warning for each operation that ends just after its timeout.
    logging.getLogger("curio").setLevel(logging.ERROR)

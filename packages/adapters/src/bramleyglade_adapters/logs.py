"""Logs as JSON lines."""

from __future__ import annotations

import json
import logging
import os
import time
from typing import TYPE_CHECKING, TextIO

if TYPE_CHECKING:
    from bramleyglade_core.ports.clock import Clock

_MOST_LINES_PER_SECOND = 200
"""Lines that a daemon writes in a second; a busy one answers some 100 requests then
(the aim of two years), and a line costs some 30 us."""

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


class BoundedHandler(logging.Handler):
    """Writes lines to a descriptor without ever waiting for its reader.

    Lines that come too fast, or find the pipe full, are dropped and counted; the
    count goes out with the next line that fits.
    """

    def __init__(self, descriptor: int, clock: Clock = time.monotonic) -> None:
        super().__init__()
        os.set_blocking(descriptor, False)
        self._descriptor = descriptor
        self._clock = clock
        self._rest = b""
        """End of a line of which the pipe took only the beginning."""
        self._lines_left = float(_MOST_LINES_PER_SECOND)
        self._refilled_at = clock()
        self._dropped = 0

    def emit(self, record: logging.LogRecord) -> None:
        """Write a record, or count it as dropped."""
        is_told = self._may_write() and self._tell_dropped()
        if not is_told or not self._write(self._line(record)):
            self._dropped += 1

    def _may_write(self) -> bool:
        now = self._clock()
        grown = (now - self._refilled_at) * _MOST_LINES_PER_SECOND
        self._refilled_at = now
        self._lines_left = min(_MOST_LINES_PER_SECOND, self._lines_left + grown)
        if self._lines_left < 1.0:
            return False
        self._lines_left -= 1.0
        return True

    def _tell_dropped(self) -> bool:
        """Write how many lines were dropped, if any; False if that did not fit."""
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
        """Write a line, or keep the end of one that was begun; False if dropped."""
        if not self._write_rest():
            return False
        self._rest = line
        if self._write_rest() or self._rest != line:
            return True
        self._rest = b""  # None of it went out, so none of it has to follow.
        return False

    def _write_rest(self) -> bool:
        """Write what is left of a line; False if the pipe takes no more."""
        while self._rest:
            try:
                written = os.write(self._descriptor, self._rest)
            except BlockingIOError:
                return False
            except OSError:
                self._rest = b""  # Nobody reads any more, and nobody can be told.
                return False
            self._rest = self._rest[written:]
        return True


def set_up_logs(level: str, stream: TextIO) -> None:
    """Send all logs of the process to a stream as JSON lines.

    Args:
        level: Name of the lowest level that is written, such as `INFO`.
        stream: Where the lines go; writes to it never wait.
    """
    handler = BoundedHandler(stream.fileno())
    handler.setFormatter(JsonLineFormatter())
    root = logging.getLogger()
    root.handlers[:] = [handler]
    root.setLevel(level)
    # Curio warns of each operation that ends just past a timeout.
    logging.getLogger("curio").setLevel(logging.ERROR)

"""JSON logs: one object per line, rate-limited, without blocking on the reader."""

from __future__ import annotations

import json
import logging
import os

import pytest

from bramleyglade_adapters.logs import JsonLineFormatter, NonBlockingHandler


@pytest.fixture
def pipe():
    reader, writer = os.pipe()
    os.set_blocking(reader, False)
    yield reader, writer
    os.close(reader)
    os.close(writer)


@pytest.fixture
def handler(pipe, clock):
    handler = NonBlockingHandler(pipe[1], clock)
    handler.setFormatter(JsonLineFormatter())
    return handler


def _make_record(number, text=""):
    record = logging.LogRecord("test", logging.INFO, "", 0, "Happened", None, None)
    record.number = number
    record.text = text
    return record


def _read_lines(reader):
    data = b""
    while True:
        try:
            chunk = os.read(reader, 1 << 20)
        except BlockingIOError:
            return [json.loads(line) for line in data.splitlines()]
        data += chunk


def test_lines_for_a_stalled_reader_are_dropped_and_counted_without_blocking(
    pipe, handler, clock
):
    for number in range(3000):
        clock.advance(0.01)
        handler.emit(_make_record(number, "x" * 200))
    first = _read_lines(pipe[0])
    assert 0 < len(first) < 3000
    clock.advance(1.0)
    handler.emit(_make_record(-1))
    rest = _read_lines(pipe[0])
    dropped = [line["lines"] for line in rest if line["event"] == "LogLinesDropped"]
    written = [line for line in first + rest if line["event"] == "Happened"]
    assert sum(dropped) + len(written) == 3001
    assert rest[-1]["number"] == -1


def test_lines_above_the_rate_limit_are_dropped_and_counted(pipe, handler, clock):
    for number in range(500):
        handler.emit(_make_record(number))
    clock.advance(1.0)
    handler.emit(_make_record(500))
    lines = _read_lines(pipe[0])
    dropped = [line["lines"] for line in lines if line["event"] == "LogLinesDropped"]
    assert sum(dropped) == 501 - (len(lines) - 1)
    assert lines[-1]["number"] == 500


def test_logging_to_a_closed_pipe_does_not_raise(clock):
    reader, writer = os.pipe()
    handler = NonBlockingHandler(writer, clock)
    handler.setFormatter(JsonLineFormatter())
    os.close(reader)
    handler.emit(_make_record(1))
    handler.emit(_make_record(2))
    os.close(writer)

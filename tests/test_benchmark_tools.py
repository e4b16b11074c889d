"""Tools that read the bench's output and the logs of its days."""

from __future__ import annotations

import json

from benchmarks.rate_refusals import Arrival, admitted_by_bucket, compare
from benchmarks.regression import DayResult, format_table, parse_days

OUTPUT = """built in 0.1 s; 16570 lines in 149 files
day                  own/srv  score  worth served refused failed  weakest part
quiet-1                 24/0   0.60  0.664  0.911   0.081  0.045  nines 0.51; prices
trouble-1               24/0   0.00  -0.331  0.689   0.154  0.096  worst windows 0.00
scale-1                233/0   0.00  0.000  1.000   0.0  0.0  BROKEN: LOST 1 (else 0.2)
GATE passed
""".splitlines()


def test_days_are_read_from_the_output_of_a_score():
    days = list(parse_days("site", OUTPUT))
    assert [day.day for day in days] == ["quiet-1", "trouble-1", "scale-1"]
    assert days[1].worth == -0.331
    assert [day.broken for day in days] == ["", "", "LOST 1"]


def test_table_shows_a_day_beside_its_earlier_result():
    days = list(parse_days("site", OUTPUT))
    before = DayResult("site", "quiet-1", 0.5, 0.8)
    lines = format_table(days, {before.key: before}).splitlines()
    assert lines[1].split() == ["site", "quiet-1", "0.664", "0.500", "0.911", "0.800"]
    assert "LOST 1" in lines[3]


def test_bucket_admits_its_burst_and_then_its_rate():
    arrivals = [Arrival(0.1 * i, False) for i in range(100)]
    assert admitted_by_bucket(arrivals, rate=2.0, burst=5) == 5 + 19


def test_refusals_beyond_one_bucket_are_not_wrongful():
    def line(at, code):
        why = "the team has used up its 2/s and a burst of 5, of which"
        fields = {"event": "RequestFailed", "time": at, "seconds": 0.0, "code": code}
        return f"1.0 vm-1 {json.dumps({**fields, 'team': 'studio', 'why': why})}"

    refused = [line(float(i), "rate-exceeded") for i in range(8)]
    admitted = [line(0.5 + i, "ok") for i in range(4)]
    (comparison,) = compare(["no log line", *refused, *admitted])
    assert (comparison.requests, comparison.admitted) == (12, 4)
    assert comparison.wrongful == comparison.ideal - 4

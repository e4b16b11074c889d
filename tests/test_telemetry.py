"""Trace context, and the export formats of traces, metrics and logs."""

from __future__ import annotations

import http.server
import json
import logging
import random
import subprocess
import sys
import threading
from dataclasses import replace

import curio
import pytest

from bramleyglade_adapters.logs import JsonLineFormatter
from bramleyglade_adapters.telemetry import Telemetry, traceparent_of
from bramleyglade_core.decisions.regions import Distance
from bramleyglade_core.model.settings import TelemetrySettings
from bramleyglade_core.model.tickets import Ticket
from bramleyglade_daemon.front.request_log import AnswerTruncated, RequestLog
from bramleyglade_standins.local_fleet import first_ticket


@pytest.fixture
def receiver():
    """Start an OTLP receiver; yield its endpoint and the paths of its requests."""
    paths = []

    class Handler(http.server.BaseHTTPRequestHandler):
        def do_POST(self):
            self.rfile.read(int(self.headers["content-length"]))
            paths.append(self.path)
            self.send_response(200)
            self.end_headers()

        def log_message(self, *_):
            """Print nothing."""

    server = http.server.HTTPServer(("127.0.0.1", 0), Handler)
    threading.Thread(target=server.serve_forever, daemon=True).start()
    yield f"http://127.0.0.1:{server.server_port}", paths
    server.shutdown()
    server.server_close()


def make_telemetry(settings, **changes):
    telemetry = TelemetrySettings(**changes)
    return Telemetry(replace(settings, telemetry=telemetry), random.Random(1))


def test_hops_of_a_request_share_a_trace_and_are_exported(settings, receiver):
    endpoint, paths = receiver
    telemetry = make_telemetry(
        settings, exporter="otlp", endpoint=endpoint, trace_share=1.0
    )
    front = telemetry.start_hop("front", "", is_root=True)
    target = telemetry.start_hop("target", front.traceparent)
    assert traceparent_of({"traceparent": front.traceparent})
    assert target.traceparent.split("-")[1] == front.traceparent.split("-")[1]
    assert target.traceparent != front.traceparent
    target.end()
    front.end()
    telemetry.note_request("ok", "ran", 0.1)
    telemetry.shut_down()
    assert {"/v1/traces", "/v1/metrics"} <= set(paths)


def test_unsampled_request_keeps_its_context_and_has_no_span(settings):
    telemetry = make_telemetry(settings, exporter="json", trace_share=0.0)
    traceparent = f"00-{'1' * 32}-{'2' * 16}-00"
    hop = telemetry.start_hop("front", traceparent, is_root=True)
    assert (hop.traceparent, hop.span) == (traceparent, None)
    assert telemetry.start_hop("front", "", is_root=True).span is None
    telemetry.shut_down()


def test_malformed_trace_context_is_dropped():
    assert traceparent_of({"traceparent": "00-zz-zz-01"}) == ""


def test_log_record_is_formatted_as_one_json_line_with_its_fields():
    record = logging.LogRecord("fleet", logging.INFO, "", 1, "TargetEjected", (), None)
    record.target = "target-0"
    line = JsonLineFormatter().format(record)
    assert "\n" not in line
    assert json.loads(line)["event"] == "TargetEjected"
    assert json.loads(line)["target"] == "target-0"


def test_daemon_that_exports_nothing_starts_without_the_sdk():
    """Imports are late seconds after a loss of all power."""
    program = (
        "import sys, bramleyglade_platform.platform_program\n"
        "print([n for n in sys.modules if n.split('.')[:2] == ['opentelemetry', 'sdk']"
        " or n == 'fire'])"
    )
    printed = subprocess.run(
        [sys.executable, "-c", program], capture_output=True, text=True, check=True
    )
    assert printed.stdout.strip() == "[]"


def test_daemon_that_exports_nothing_counts_without_effect(settings):
    telemetry = make_telemetry(settings)
    telemetry.note_request("ok", "ran", 0.1)
    telemetry.note_attempt("catalogue", "ok", 0.1)
    telemetry.note_idle("catalogue", 0.1)
    assert telemetry.start_hop("front", "", is_root=True).span is None
    telemetry.shut_down()


@pytest.mark.parametrize(
    ("error", "code"),
    [
        (ConnectionResetError(), "caller-gone"),
        (AnswerTruncated(), "answer-reset"),
        (curio.TaskCancelled(), "cancelled"),
        (curio.TaskTimeout(), "timed-out"),
        (ZeroDivisionError(), "crashed"),
    ],
)
def test_log_says_why_a_request_got_no_answer(error, code, caplog):
    log = RequestLog("r-1", 0.0)
    log.note_unanswered(error)
    with caplog.at_level(logging.INFO):
        log.write(0.5)
    assert [(r.message, r.code) for r in caplog.records] == [("RequestFailed", code)]


def test_bytes_to_peers_are_counted_by_kind_and_distance(run_fleet):
    """Traffic that crosses regions could not be told from traffic within a zone."""

    async def scenario(fleet):
        sent_by_distance = {
            distance: fleet.daemons[0].context.telemetry.peer_bytes.at(distance.value)
            for distance in Distance
        }
        await fleet.wait_until(
            lambda: all(s["HeartbeatAnswered"] for s in sent_by_distance.values())
        )

    entities = tuple(
        replace(e, region="region-2") if e.name == "zone-2" else e
        for e in first_ticket(3).entities
    )
    run_fleet(scenario, daemons=6, zones=3, ticket=Ticket(1, "", entities))

"""Export of metrics and traces by the OpenTelemetry SDK.

Imported only by a daemon that exports: the SDK takes a tenth of a daemon's start.
"""

from __future__ import annotations

import sys
from typing import TYPE_CHECKING

from opentelemetry.sdk.metrics import MeterProvider
from opentelemetry.sdk.metrics.export import (
    ConsoleMetricExporter,
    MetricExporter,
    PeriodicExportingMetricReader,
)
from opentelemetry.sdk.resources import Resource
from opentelemetry.sdk.trace import TracerProvider
from opentelemetry.sdk.trace.export import (
    BatchSpanProcessor,
    ConsoleSpanExporter,
    SpanExporter,
)

if TYPE_CHECKING:
    from bramleyglade_core.model.settings import DaemonSettings, TelemetrySettings

_MILLISECONDS_PER_SECOND = 1000.0


class Exporters:
    """The providers whose metrics and spans are exported."""

    def __init__(self, settings: DaemonSettings) -> None:
        resource = Resource.create(
            {"service.name": "bramleygladed", "service.instance.id": settings.name}
        )
        telemetry = settings.telemetry
        milliseconds = telemetry.period_seconds * _MILLISECONDS_PER_SECOND
        reader = PeriodicExportingMetricReader(
            _metric_exporter(telemetry), milliseconds
        )
        self.tracers = TracerProvider(resource=resource)
        self.tracers.add_span_processor(BatchSpanProcessor(_span_exporter(telemetry)))
        self.meters = MeterProvider([reader], resource=resource)

    def shut_down(self) -> None:
        """Export what is pending and stop."""
        self.tracers.shutdown()
        self.meters.shutdown()


def _metric_exporter(settings: TelemetrySettings) -> MetricExporter:
    if settings.exporter == "otlp":
        from opentelemetry.exporter.otlp.proto.http.metric_exporter import (
            OTLPMetricExporter,
        )

        return OTLPMetricExporter(f"{settings.endpoint}/v1/metrics")
    return ConsoleMetricExporter(out=sys.stderr, formatter=_to_json_line)


def _span_exporter(settings: TelemetrySettings) -> SpanExporter:
    if settings.exporter == "otlp":
        from opentelemetry.exporter.otlp.proto.http.trace_exporter import (
            OTLPSpanExporter,
        )

        return OTLPSpanExporter(f"{settings.endpoint}/v1/traces")
    return ConsoleSpanExporter(out=sys.stderr, formatter=_to_json_line)


def _to_json_line(value: object) -> str:
    to_json = value.to_json  # type: ignore[attr-defined]
    return to_json(indent=None) + "\n"

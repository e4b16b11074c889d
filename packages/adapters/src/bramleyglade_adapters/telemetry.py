"""OpenTelemetry metrics and traces, with one span for each hop of a request."""

from __future__ import annotations

from collections import Counter
from dataclasses import dataclass
from functools import cached_property
from typing import TYPE_CHECKING

from opentelemetry import trace
from opentelemetry.metrics import MeterProvider, NoOpMeterProvider, Observation
from opentelemetry.trace import NoOpTracerProvider, Span, TracerProvider
from opentelemetry.trace.propagation.tracecontext import TraceContextTextMapPropagator

if TYPE_CHECKING:
    import random
    from collections.abc import Iterator, Mapping

    from opentelemetry.metrics import CallbackOptions, Histogram, Meter

    from bramleyglade_adapters.telemetry_export import Exporters
    from bramleyglade_core.model.settings import DaemonSettings

_MILLISECONDS_PER_SECOND = 1000.0
_SAMPLED_FLAG = 0x01
"""Bit of the W3C trace flags; other bits may be set as well."""

Label = tuple[str, str]
"""Name and value of an attribute."""

_PROPAGATOR = TraceContextTextMapPropagator()


@dataclass(frozen=True, slots=True)
class Hop:
    """One hop of a request, with its span if the request is traced."""

    traceparent: str
    """Trace context for the next hop, in W3C form; may be empty."""
    span: Span | None = None
    """None if the request is not traced."""

    def set_attribute(self, name: str, value: str | int | float) -> None:
        """Set an attribute of the span, if there is one."""
        if self.span is not None:
            self.span.set_attribute(name, value)

    def end(self) -> None:
        """End the span, if there is one."""
        if self.span is not None:
            self.span.end()


class EventCounter:
    """Counts events by label; the exporter reads the counts once a period.

    Adding to a dictionary costs less on each request than a synchronous counter.
    """

    def __init__(self, meter: Meter, name: str) -> None:
        self._count_by_labels: Counter[tuple[Label, ...]] = Counter()
        meter.create_observable_counter(name, [self._observe])

    def add(self, *labels: Label, count: int = 1) -> None:
        """Count one event with these labels, or more."""
        self._count_by_labels[labels] += count

    def _observe(self, _: CallbackOptions) -> Iterator[Observation]:
        for labels, count in list(self._count_by_labels.items()):
            yield Observation(count, dict(labels))


class ByteCounter:
    """Bytes sent to peers by kind of message, for each distance.

    A link adds to the counter of its distance directly, as it sends many messages.
    """

    def __init__(self, meter: Meter, name: str) -> None:
        self._sent_by_distance: dict[str, Counter[str]] = {}
        meter.create_observable_counter(name, [self._observe], unit="By")

    def at(self, distance: str) -> Counter[str]:
        """Return the bytes sent over a distance, by kind of message."""
        return self._sent_by_distance.setdefault(distance, Counter())

    def _observe(self, _: CallbackOptions) -> Iterator[Observation]:
        for distance, sent_by_kind in list(self._sent_by_distance.items()):
            for kind, sent in list(sent_by_kind.items()):
                yield Observation(sent, {"kind": kind, "distance": distance})


class Telemetry:
    """Metrics and traces of one process."""

    def __init__(self, settings: DaemonSettings, random_source: random.Random) -> None:
        self._settings = settings.telemetry
        self._random = random_source
        self._exporters: Exporters | None = None
        tracers: TracerProvider = NoOpTracerProvider()
        meters: MeterProvider = NoOpMeterProvider()
        if self._settings.exporter != "none":
            from bramleyglade_adapters.telemetry_export import Exporters

            self._exporters = Exporters(settings)
            tracers, meters = self._exporters.tracers, self._exporters.meters
        self._tracer = tracers.get_tracer("bramleyglade")
        self._meter = meters.get_meter("bramleyglade")
        self._requests = EventCounter(self._meter, "bramleyglade.requests")
        self._attempts = EventCounter(self._meter, "bramleyglade.attempts")
        self._events = EventCounter(self._meter, "bramleyglade.events")
        self.peer_bytes = ByteCounter(self._meter, "bramleyglade.peer.bytes")
        """Bytes sent to peers, with their framing and without that of TCP."""
        self._zones = EventCounter(self._meter, "bramleyglade.zone.attempts")
        self._path_rejections = EventCounter(
            self._meter, "bramleyglade.path.rejections"
        )
        self._rejected_calls = EventCounter(self._meter, "bramleyglade.calls.rejected")
        self._zone_bytes = EventCounter(self._meter, "bramleyglade.zone.bytes")

    @cached_property
    def _front_latency(self) -> Histogram:
        return self._meter.create_histogram("bramleyglade.front.latency", unit="ms")

    @cached_property
    def _target_latency(self) -> Histogram:
        return self._meter.create_histogram("bramleyglade.target.latency", unit="ms")

    @cached_property
    def _target_idle(self) -> Histogram:
        return self._meter.create_histogram("bramleyglade.target.idle", unit="ms")

    def note_request(self, code: str, verdict: str, seconds: float) -> None:
        """Count a request that the front has answered."""
        self._requests.add(("code", code), ("verdict", verdict))
        self._front_latency.record(seconds * _MILLISECONDS_PER_SECOND)

    def note_attempt(self, service: str, code: str, seconds: float) -> None:
        """Count an exchange with a target."""
        self._attempts.add(("service", service), ("code", code))
        attributes = {"service": service}
        self._target_latency.record(seconds * _MILLISECONDS_PER_SECOND, attributes)

    def note_zone(self, service: str, zone: str, reason: str) -> None:
        """Count an attempt by the zone that it goes to, and why it goes there."""
        self._zones.add(("service", service), ("zone", zone), ("reason", reason))

    def note_zone_bytes(self, service: str, zone: str, size: int) -> None:
        """Count the bytes of the bodies of a request and its answer by the zone."""
        self._zone_bytes.add(("service", service), ("zone", zone), count=size)

    def note_idle(self, service: str, seconds: float) -> None:
        """Record the time between two requests to a target."""
        attributes = {"service": service}
        self._target_idle.record(seconds * _MILLISECONDS_PER_SECOND, attributes)

    def note_path_rejection(self, route: str, short_service: str) -> None:
        """Count a request rejected because a service on its path lacked capacity."""
        self._path_rejections.add(("route", route), ("service", short_service))

    def note_rejected_call(self, route: str, code: str) -> None:
        """Count a call that was rejected, so that its parent's work may be lost."""
        self._rejected_calls.add(("route", route), ("code", code))

    def note_event(self, name: str) -> None:
        """Count an event that matters to operators."""
        self._events.add(("event", name))

    def start_hop(self, name: str, traceparent: str, is_root: bool = False) -> Hop:
        """Start a hop of a request.

        Args:
            name: Name of the hop.
            traceparent: Trace context received with the request; may be empty.
            is_root: True where requests enter the fleet. A share of the requests
                without a context is traced there.

        Returns:
            The hop, with the context for the next one.
        """
        if self._exporters is None:
            return Hop(traceparent)
        if not traceparent and is_root:
            if self._random.random() >= self._settings.trace_share:
                return Hop("")
        elif not _is_sampled(traceparent):
            return Hop(traceparent)
        context = _PROPAGATOR.extract({"traceparent": traceparent})
        span = self._tracer.start_span(name, context)
        carrier: dict[str, str] = {}
        _PROPAGATOR.inject(carrier, trace.set_span_in_context(span))
        return Hop(carrier["traceparent"], span)

    def shut_down(self) -> None:
        """Export what is pending and stop."""
        if self._exporters is not None:
            self._exporters.shut_down()


def _is_sampled(traceparent: str) -> bool:
    flags = traceparent.rpartition("-")[2]
    return bool(flags) and bool(int(flags, 16) & _SAMPLED_FLAG)


def traceparent_of(headers: Mapping[str, str]) -> str:
    """Return the traceparent of a request, or an empty string if it is invalid."""
    text = headers.get("traceparent", "")
    context = trace.get_current_span(_PROPAGATOR.extract({"traceparent": text}))
    return text if context.get_span_context().is_valid else ""

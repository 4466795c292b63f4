"""Handovers as OpenTelemetry traces: exported to the log as each ends, without a thread or a file."""

from __future__ import annotations

import logging
import time
from collections import deque
from collections.abc import Callable, Sequence
from typing import Any

from opentelemetry.sdk.resources import Resource
from opentelemetry.sdk.trace import ReadableSpan, TracerProvider
from opentelemetry.sdk.trace.export import SimpleSpanProcessor, SpanExporter, SpanExportResult
from opentelemetry.trace import set_span_in_context

from sorrelsill import constants
from sorrelsill.events import log_event
from sorrelsill.membership.handover import Handover

log = logging.getLogger(__name__)

_NANOSECONDS = 1_000_000_000


class LogExporter(SpanExporter):
    """Writes each span that has ended as one line."""

    def export(self, spans: Sequence[ReadableSpan]) -> SpanExportResult:
        """Write the spans."""
        for span in spans:
            lasted_s = ((span.end_time or 0) - (span.start_time or 0)) / _NANOSECONDS
            trace_id = f"{span.context.trace_id:032x}" if span.context is not None else "?"
            attributes = dict(span.attributes or {})
            log_event(log, logging.INFO, "trace", trace=trace_id, span=span.name, took_s=lasted_s, **attributes)
        return SpanExportResult.SUCCESS


class HandoverTraces:
    """A trace for each handover, and the last ones for operators."""

    def __init__(
        self, label: str, exporter: SpanExporter | None = None, time_of_day: Callable[[], float] = time.time
    ) -> None:
        resource = Resource.create({"service.name": "sorrelsill", "service.instance.id": label})
        provider = TracerProvider(resource=resource, shutdown_on_exit=False)
        provider.add_span_processor(SimpleSpanProcessor(exporter or LogExporter()))
        self._tracer = provider.get_tracer("sorrelsill.membership")
        self._time_of_day = time_of_day
        self.recent: deque[Handover] = deque(maxlen=constants.HANDOVERS_KEPT)

    def record(self, handover: Handover, now: float) -> None:
        """The whole handover as a span, and under it one from step to step."""
        self.recent.append(handover)
        # Durations are those of the monotonic clock; the time of day only dates the trace.
        offset_s = self._time_of_day() - now

        def at(monotonic_s: float) -> int:
            return int((monotonic_s + offset_s) * _NANOSECONDS)

        attributes: dict[str, Any] = {
            "former": handover.former,
            "successor": handover.successor,
            "term": handover.term,
            "planned": handover.planned,
        }
        root = self._tracer.start_span("handover", start_time=at(handover.begun_at), attributes=attributes)
        context = set_span_in_context(root)
        before = handover.begun_at
        for name, reached_at in handover.steps():
            step = self._tracer.start_span(f"until {name}", context=context, start_time=at(before))
            step.end(end_time=at(max(before, reached_at)))
            before = max(before, reached_at)
        root.end(end_time=at(handover.first_start_at))

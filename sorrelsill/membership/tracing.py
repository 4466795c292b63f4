"""Records handovers as OpenTelemetry traces. Spans are logged when they end, without a thread or a file."""

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

_NS_PER_S = 1_000_000_000


class LogExporter(SpanExporter):
    """Writes each ended span as one log event."""

    def export(self, spans: Sequence[ReadableSpan]) -> SpanExportResult:
        """Write one log event for each span."""
        for span in spans:
            duration_s = ((span.end_time or 0) - (span.start_time or 0)) / _NS_PER_S
            trace_id = f"{span.context.trace_id:032x}" if span.context is not None else "?"
            attributes = dict(span.attributes or {})
            log_event(log, logging.INFO, "trace", trace=trace_id, span=span.name, took_s=duration_s, **attributes)
        return SpanExportResult.SUCCESS


class HandoverTraces:
    """Records a trace for each handover and keeps the most recent handovers for operators."""

    def __init__(
        self, label: str, exporter: SpanExporter | None = None, wall_clock: Callable[[], float] = time.time
    ) -> None:
        resource = Resource.create({"service.name": "sorrelsill", "service.instance.id": label})
        provider = TracerProvider(resource=resource, shutdown_on_exit=False)
        provider.add_span_processor(SimpleSpanProcessor(exporter or LogExporter()))
        self._tracer = provider.get_tracer("sorrelsill.membership")
        self._wall_clock = wall_clock
        self.recent: deque[Handover] = deque(maxlen=constants.HANDOVERS_KEPT)

    def record(self, handover: Handover, now: float) -> None:
        """Record the handover as a root span with one child span per step."""
        self.recent.append(handover)
        # Durations come from the monotonic clock; the wall clock only sets the trace's position in time.
        offset_s = self._wall_clock() - now

        def to_epoch_ns(monotonic_s: float) -> int:
            return int((monotonic_s + offset_s) * _NS_PER_S)

        attributes: dict[str, Any] = {
            "former": handover.former,
            "successor": handover.successor,
            "term": handover.term,
            "planned": handover.planned,
        }
        root = self._tracer.start_span("handover", start_time=to_epoch_ns(handover.begun_at), attributes=attributes)
        context = set_span_in_context(root)
        previous_at = handover.begun_at
        for name, reached_at in handover.steps():
            step = self._tracer.start_span(f"until {name}", context=context, start_time=to_epoch_ns(previous_at))
            step.end(end_time=to_epoch_ns(max(previous_at, reached_at)))
            previous_at = max(previous_at, reached_at)
        root.end(end_time=to_epoch_ns(handover.first_start_at))

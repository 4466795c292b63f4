"""Recording of handovers as OpenTelemetry traces."""

import logging

import pytest
from opentelemetry.sdk.trace.export.in_memory_span_exporter import InMemorySpanExporter

from sorrelsill import constants
from sorrelsill.membership.handover import Handover
from sorrelsill.membership.tracing import HandoverTraces


def handover(term: int = 7) -> Handover:
    return Handover("n1", "n0", term, False, 100.0, 101.5, None, 104.0, 104.5)


def test_handover_is_one_trace_with_consecutive_steps() -> None:
    exporter = InMemorySpanExporter()
    traces = HandoverTraces("n0", exporter, lambda: 1_000_000.0)
    traces.record(handover(), 110.0)
    spans = {span.name: span for span in exporter.get_finished_spans()}
    root = spans["handover"]
    assert root.attributes is not None and root.attributes["former"] == "n1" and root.attributes["term"] == 7
    assert (root.end_time or 0) - (root.start_time or 0) == 4_500_000_000
    steps = ["until suspected", "until key taken", "until first start"]
    assert all(spans[name].parent == root.get_span_context() for name in steps)
    ends = [spans[name].end_time for name in steps]
    assert [spans[name].start_time for name in steps] == [root.start_time, *ends[:-1]] and ends[-1] == root.end_time


def test_list_of_recent_handovers_is_bounded() -> None:
    traces = HandoverTraces("n0", InMemorySpanExporter())
    for term in range(3 * constants.HANDOVERS_KEPT):
        traces.record(handover(term), 110.0)
    assert len(traces.recent) == constants.HANDOVERS_KEPT
    assert traces.recent[-1].term == 3 * constants.HANDOVERS_KEPT - 1


def test_each_span_is_one_log_event(caplog: pytest.LogCaptureFixture) -> None:
    with caplog.at_level(logging.INFO):
        HandoverTraces("n0").record(handover(), 110.0)
    lines = [message.split() for message in caplog.messages]
    assert [line[0] for line in lines] == ["trace"] * 4
    assert len({line[1] for line in lines}) == 1 and lines[0][1].startswith("trace=")
    root = next(line for line in lines if "span=handover" in line)
    assert root[3:] == ["took_s=4.5", "former=n1", "successor=n0", "term=7", "planned=False"]

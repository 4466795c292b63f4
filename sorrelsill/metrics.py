"""Metrics in the Prometheus text format, generated on request."""

from __future__ import annotations

import msgspec
from prometheus_client import CollectorRegistry, Counter, Gauge, Histogram, generate_latest

from sorrelsill.controller_state import ControllerState

_GAUGES = (
    "jobs",
    "hosts",
    "unheard",
    "unplaced",
    "groups",
    "groups_waiting",
    "store_failing_s",
    "refused",
    "set_aside",
    "starts_refused",
)

_HANDOVER_BUCKETS_S = (0.25, 0.5, 1.0, 2.0, 4.0, 8.0, 15.0, 30.0, 60.0)


def render(state: ControllerState) -> bytes:
    """Renders the metrics page from the state that a controller reports to operators."""
    registry = CollectorRegistry()
    leading = Gauge("sorrelsill_leader_status", "1 on the leader, 0 on followers", registry=registry)
    leading.set(1 if state.leading else 0)
    degraded_mode = Gauge("sorrelsill_standstill", "1 while promises let leases go on", registry=registry)
    degraded_mode.set(1 if state.standstill else 0)
    for name in _GAUGES:
        value = getattr(state, name)
        if value is not None:
            Gauge(f"sorrelsill_{name}", f"{name} as this controller believes", registry=registry).set(value)
    if state.teams is not None:
        text = "CPUs and GPUs of each team: bound, unaccounted, its limit (0: none), the most bound in this term"
        teams = Gauge("sorrelsill_team", text, ["team", "amount"], registry=registry)
        for team, use in state.teams.items():
            for amount, value in msgspec.structs.asdict(use).items():
                teams.labels(team=team, amount=amount).set(value)
    if state.peers is not None:
        peers = Gauge(
            "sorrelsill_peer", "1 for the status of each other controller", ["peer", "status"], registry=registry
        )
        for label, peer in state.peers.items():
            peers.labels(peer=label, status=peer.status).set(1)
    if state.handovers_s is not None:
        text = "from the former leader's last sign of life to the first start by this one"
        handovers = Histogram("sorrelsill_handover_seconds", text, registry=registry, buckets=_HANDOVER_BUCKETS_S)
        for lasted_s in state.handovers_s:
            handovers.observe(lasted_s)
    events = Counter("sorrelsill_events", "what was answered", ["event"], registry=registry)
    for name, count in state.counts.items():
        events.labels(event=name).inc(count)
    return generate_latest(registry)

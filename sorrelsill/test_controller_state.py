"""The encoded form of the response of `GET /state`."""

import msgspec

from sorrelsill.controller_state import ControllerState, PeerState, TeamState


def test_state_is_encoded_as_map_with_operator_field_names() -> None:
    state = ControllerState(
        label="n0",
        leader="n0",
        leading=True,
        term=7,
        standstill=False,
        store_failing_s=0.0,
        jobs=1,
        hosts=2,
        unheard=0,
        unplaced=0,
        groups=0,
        groups_waiting=0,
        refused=0,
        set_aside=0,
        starts_refused=0,
        teams={"red": TeamState(1.0, 0.0, 2.0, 0.0, 16.0, 0.0, 3.0, 0.0)},
        counts={"reports": 3},
        peers={"n1": PeerState("alive", 1.5, "heartbeat")},
        handovers_s=None,
    )
    encoded = msgspec.msgpack.decode(msgspec.msgpack.encode(state))
    assert list(encoded) == [
        "label",
        "leader",
        "leading",
        "term",
        "standstill",
        "store_failing_s",
        "jobs",
        "hosts",
        "unheard",
        "unplaced",
        "groups",
        "groups_waiting",
        "refused",
        "set_aside",
        "starts_refused",
        "teams",
        "counts",
        "peers",
        "handovers_s",
    ]
    assert encoded["teams"]["red"] == {
        "bound_cpus": 1.0,
        "bound_gpus": 0.0,
        "unaccounted_cpus": 2.0,
        "unaccounted_gpus": 0.0,
        "limit_cpus": 16.0,
        "limit_gpus": 0.0,
        "highest_bound_cpus": 3.0,
        "highest_bound_gpus": 0.0,
    }
    assert encoded["peers"] == {"n1": {"status": "alive", "for_s": 1.5, "evidence": "heartbeat"}}
    assert encoded["handovers_s"] is None

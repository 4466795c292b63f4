"""Failure detection without a network, and its settings file."""

from pathlib import Path

import pytest

from sorrelsill.membership.detector import Detector, Presence
from sorrelsill.membership.heartbeat_intervals import HeartbeatIntervals, PauseAwareClock
from sorrelsill.membership.messages import Incarnation, PeerHeartbeat
from sorrelsill.membership.settings import MembershipSettings, load_membership
from sorrelsill.membership.view import Status
from sorrelsill.settings import SettingsError

SETTINGS = MembershipSettings()
ENDED = Presence(held=False, fresh=True)
HELD = Presence(held=True, fresh=True)


def heartbeat(sequence: int, process: int = 7, refutations: int = 0) -> PeerHeartbeat:
    return PeerHeartbeat("n0,n1", "n1", Incarnation(process, refutations), sequence)


def suspecting_detector() -> Detector:
    """A detector in which n1 sent ten regular heartbeats and became suspected at 10 s."""
    detector = Detector(["n1"], SETTINGS)
    for number in range(10):
        detector.record_heartbeat(heartbeat(number), number * 0.5, number * 0.5)
    changed = detector.update_statuses({"n1": HELD}, 10.0, 10.0)
    assert [peer.status for peer in changed] == [Status.SUSPECTED]
    return detector


def test_threshold_grows_with_deviation_of_past_intervals() -> None:
    regular, irregular = (HeartbeatIntervals(0.5, 6.0, 1.5) for _ in range(2))
    for number in range(40):
        regular.record_arrival(number * 0.5)
        irregular.record_arrival(number * 0.5 + (0.45 if number % 2 else 0.0))
    assert regular.threshold_s() == 1.5
    assert irregular.threshold_s() > 2.5


def test_pause_of_observer_is_not_counted_even_before_its_loop_runs_again() -> None:
    clock = PauseAwareClock(0.0, 0.5)
    for tick in range(1, 11):
        clock.tick(tick * 0.5)
    assert clock.unpaused_time(5.2) == pytest.approx(5.2)
    assert clock.unpaused_time(25.0) == pytest.approx(5.5), "an overdue tick counts as a pause at once"
    clock.tick(25.0)
    assert clock.unpaused_time(25.0) == pytest.approx(5.5)
    clock.tick(25.5)
    assert clock.unpaused_time(25.5) == pytest.approx(6.0)


def test_not_confirmed_before_a_whole_probe_round_has_failed() -> None:
    detector = suspecting_detector()
    detector.record_failed_probe_round("n1", 9.0)  # begun before it was suspected
    assert not detector.update_statuses({"n1": ENDED}, 60.0, 60.0)
    detector.record_failed_probe_round("n1", 61.0)
    assert [peer.status for peer in detector.update_statuses({"n1": ENDED}, 62.0, 62.0)] == [Status.CONFIRMED]


@pytest.mark.parametrize("presence", [HELD, Presence(held=False, fresh=False), Presence(held=True, fresh=False)])
def test_not_confirmed_while_its_lease_may_be_held(presence: Presence) -> None:
    detector = suspecting_detector()
    detector.record_failed_probe_round("n1", 11.0)
    assert not detector.update_statuses({"n1": presence}, 60.0, 60.0)


def test_not_confirmed_before_suspected_for_confirm_s() -> None:
    detector = suspecting_detector()
    detector.record_failed_probe_round("n1", 10.5)
    assert not detector.update_statuses({"n1": ENDED}, 10.0 + SETTINGS.confirm_s - 0.1, 13.0)
    assert detector.update_statuses({"n1": ENDED}, 10.0 + SETTINGS.confirm_s, 14.0)


def test_later_process_or_refutation_clears_suspicion_and_earlier_one_does_not() -> None:
    detector = suspecting_detector()
    version = detector.view.version
    assert not detector.record_heartbeat(heartbeat(4), 11.0, 11.0) and not detector.record_heartbeat(
        heartbeat(99, process=6), 11.0, 11.0
    )
    assert detector.view.version == version, "a duplicate changes nothing"
    assert detector.record_heartbeat(heartbeat(10, refutations=1), 11.0, 11.0)
    assert detector.view.peers["n1"].status is Status.ALIVE
    assert not detector.record_heartbeat(heartbeat(11, refutations=0), 11.5, 11.5)
    assert detector.record_heartbeat(heartbeat(0, process=9), 12.0, 12.0), (
        "the sequence numbers of a new process start again"
    )


def test_snapshot_is_immutable() -> None:
    detector = suspecting_detector()
    before = detector.view
    detector.record_heartbeat(heartbeat(10), 11.0, 11.0)
    assert before.peers["n1"].status is Status.SUSPECTED and detector.view.version > before.version


@pytest.mark.parametrize(
    ("text", "field"),
    [
        ("heartbeat_s = 0", "heartbeat_s"),
        ("heartbeat_s = -1.0", "heartbeat_s"),
        ('confirm_s = "soon"', "confirm_s"),
        ("confirm_s = 1.0", "confirm_s"),
        ("suspect_min_s = 0.6", "suspect_min_s"),
        ("probe_timeout_s = 2.0", "probe_timeout_s"),
        ("presence_lease_s = 1.0", "presence_lease_s"),
        ("presence_lease_s = 9000.0", "presence_lease_s"),
        ("heartbeats = 3", "heartbeats"),
        ("heartbeat_s = = 3", "syntax"),
    ],
)
def test_invalid_settings_file_raises_one_line_with_file_and_field(tmp_path: Path, text: str, field: str) -> None:
    path = tmp_path / "membership.hcl"
    path.write_text(text + "\n")
    with pytest.raises(SettingsError) as raised:
        load_membership(str(path))
    line = str(raised.value)
    assert "\n" not in line and line.startswith(f"{path}: ") and field in line


def test_settings_file_in_deploy_holds_the_defaults() -> None:
    shipped = Path(__file__).resolve().parents[2] / "deploy" / "membership.hcl"
    assert load_membership(str(shipped)) == MembershipSettings()
    assert load_membership(None) is None

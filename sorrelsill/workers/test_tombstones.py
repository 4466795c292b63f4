"""Late copies of heartbeats of machines that are gone."""

from sorrelsill import constants
from sorrelsill.workers.tombstones import Tombstones


def test_machines_that_are_gone_are_remembered_as_long_as_messages_may_be_late_however_many() -> None:
    tombstones = Tombstones()
    for number in range(20_000):
        tombstones.record_forever(f"m-{number}", number * constants.TOMBSTONE_S / 20_000)
    assert all(tombstones.rejects(f"m-{number}", 7, 900) for number in range(0, 20_000, 100))
    tombstones.record_forever("m-last", 3 * constants.TOMBSTONE_S)
    assert len(tombstones) == constants.TOMBSTONES_KEPT


def test_a_later_session_of_a_machine_that_was_dropped_is_believed() -> None:
    tombstones = Tombstones()
    tombstones.record("m-1", 3, 40, 0.0)
    assert tombstones.rejects("m-1", 3, 40) and tombstones.rejects("m-1", 2, 99)
    assert (
        not tombstones.rejects("m-1", 3, 41)
        and not tombstones.rejects("m-1", 4, 1)
        and not tombstones.rejects("m-2", 1, 1)
    )

"""Rejection of delayed heartbeats of removed machines."""

from sorrelsill import constants
from sorrelsill.workers.tombstones import Tombstones


def test_tombstones_are_kept_while_messages_may_be_delayed_regardless_of_their_number() -> None:
    tombstones = Tombstones()
    for number in range(20_000):
        tombstones.record_forever(f"m-{number}", number * constants.TOMBSTONE_S / 20_000)
    assert all(tombstones.rejects(f"m-{number}", 7, 900) for number in range(0, 20_000, 100))
    tombstones.record_forever("m-last", 3 * constants.TOMBSTONE_S)
    assert len(tombstones) == constants.TOMBSTONES_KEPT


def test_a_later_incarnation_of_a_forgotten_machine_is_accepted() -> None:
    tombstones = Tombstones()
    tombstones.record("m-1", 3, 40, 0.0)
    assert tombstones.rejects("m-1", 3, 40) and tombstones.rejects("m-1", 2, 99)
    assert (
        not tombstones.rejects("m-1", 3, 41)
        and not tombstones.rejects("m-1", 4, 1)
        and not tombstones.rejects("m-2", 1, 1)
    )

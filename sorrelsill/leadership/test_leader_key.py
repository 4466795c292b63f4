"""The stored value of the leader key is read field by field, and damage is survived."""

from typing import Any

import pytest

from sorrelsill.leadership.leader_key import LeaderKey


def test_the_stored_form_keeps_its_names_and_order() -> None:
    stored = LeaderKey("c1", "00ff", 7).to_stored()
    assert list(stored.items()) == [("label", "c1"), ("nonce", "00ff"), ("lease", 7)]
    assert LeaderKey.from_stored(stored) == LeaderKey("c1", "00ff", 7)


@pytest.mark.parametrize("damaged", [None, 3, "c1", [], {}, {"label": 1, "nonce": 2, "lease": "7"}])
def test_a_damaged_value_names_nobody(damaged: Any) -> None:
    assert LeaderKey.from_stored(damaged) == LeaderKey()


def test_what_is_sound_in_a_damaged_value_counts() -> None:
    assert LeaderKey.from_stored({"label": "c1", "nonce": None, "extra": 1}) == LeaderKey("c1")
    assert LeaderKey.from_stored({"label": None, "lease": 7}) == LeaderKey(lease=7)

"""Encoding and decoding of the leader key, including damaged values."""

from typing import Any

import pytest

from sorrelsill.leadership.leader_key import LeaderKey


def test_stored_form_keeps_field_names_and_order() -> None:
    stored = LeaderKey("c1", "00ff", 7).to_stored()
    assert list(stored.items()) == [("label", "c1"), ("nonce", "00ff"), ("lease", 7)]
    assert LeaderKey.from_stored(stored) == LeaderKey("c1", "00ff", 7)


@pytest.mark.parametrize("damaged", [None, 3, "c1", [], {}, {"label": 1, "nonce": 2, "lease": "7"}])
def test_damaged_value_decodes_to_empty_key(damaged: Any) -> None:
    assert LeaderKey.from_stored(damaged) == LeaderKey()


def test_valid_fields_of_damaged_value_are_kept() -> None:
    assert LeaderKey.from_stored({"label": "c1", "nonce": None, "extra": 1}) == LeaderKey("c1")
    assert LeaderKey.from_stored({"label": None, "lease": 7}) == LeaderKey(lease=7)

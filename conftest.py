"""The same verdict every time: trio's scheduler shuffles its batches, so its dice are seeded for each test."""

import pytest
import trio._core._run as trio_run


@pytest.fixture(autouse=True)
def _seeded(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(trio_run, "_ALLOW_DETERMINISTIC_SCHEDULING", True)
    trio_run._r.seed(0)

"""The value of the leader key as it is stored: the one place that knows its byte form."""

from __future__ import annotations

from typing import Any

import msgspec


class LeaderKey(msgspec.Struct, frozen=True):
    """Who holds the key. A field that is missing or damaged in the store is None."""

    label: str | None = None  # the controller's name in the settings and on the wire
    nonce: str | None = None  # tells this write from any other, should its answer be lost
    lease: int | None = None  # that the key is attached to

    @classmethod
    def from_stored(cls, value: Any) -> LeaderKey:
        """Read field by field: a damaged value is survived, and what is sound in it still counts."""
        if not isinstance(value, dict):
            return cls()
        label, nonce, lease = value.get("label"), value.get("nonce"), value.get("lease")
        return cls(
            label if isinstance(label, str) else None,
            nonce if isinstance(nonce, str) else None,
            lease if isinstance(lease, int) else None,
        )

    def to_stored(self) -> dict[str, Any]:
        """The map that is stored as JSON."""
        return {"label": self.label, "nonce": self.nonce, "lease": self.lease}

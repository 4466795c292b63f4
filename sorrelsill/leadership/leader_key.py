"""Encoding and decoding of the stored value of the leader key."""

from __future__ import annotations

from typing import Any

import msgspec


class LeaderKey(msgspec.Struct, frozen=True):
    """The holder of the leader key. A field that is missing or invalid in the stored value is None."""

    label: str | None = None  # the controller's name in the settings and in messages
    nonce: str | None = None  # random; identifies this write if its answer is lost
    lease: int | None = None  # the lease that the key is attached to

    @classmethod
    def from_stored(cls, value: Any) -> LeaderKey:
        """Decode each field separately, so that valid fields of a damaged value are still used."""
        if not isinstance(value, dict):
            return cls()
        label, nonce, lease = value.get("label"), value.get("nonce"), value.get("lease")
        return cls(
            label if isinstance(label, str) else None,
            nonce if isinstance(nonce, str) else None,
            lease if isinstance(lease, int) else None,
        )

    def to_stored(self) -> dict[str, Any]:
        """Return the map that is stored as JSON."""
        return {"label": self.label, "nonce": self.nonce, "lease": self.lease}

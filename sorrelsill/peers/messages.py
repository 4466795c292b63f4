"""The messages of `/promise` between controllers: JSON, read field by field.

The former version sends neither `back` nor `known`. What is missing or damaged proves nothing."""

from __future__ import annotations

from typing import Any

import msgspec
import orjson


class PromiseRequest(msgspec.Struct, frozen=True):
    """Asks a controller for a promise, or only for what it knows of cancellations."""

    promise: bool
    cancellations: dict[str, Any]  # what is asked of cancellations, as `Cancellations.peer_request` makes it

    @classmethod
    def from_body(cls, body: bytes) -> PromiseRequest:
        """Read a request; a body that is none asks for nothing."""
        fields = _map_in(body) or {}
        return cls(bool(fields.get("promise")), fields)

    def to_body(self) -> bytes:
        """As it goes over the wire."""
        return orjson.dumps({"promise": self.promise, **self.cancellations})


class PromiseAnswer(msgspec.Struct, frozen=True):
    """Whether the promise is given, and what its giver knows."""

    promised: bool
    failing: bool  # the giver cannot reach the key-value store either
    known: Any  # of cancellations, as `Cancellations.answer_peer` makes it
    has_known: bool = True  # False from the former version, which sends no such field

    @classmethod
    def from_body(cls, body: bytes) -> PromiseAnswer | None:
        """Read an answer; None if the body is no JSON object."""
        fields = _map_in(body)
        if fields is None:
            return None
        return cls(
            bool(fields.get("promised")), bool(fields.get("failing")), fields.get("known"), has_known="known" in fields
        )

    def to_body(self) -> bytes:
        """As it goes over the wire."""
        return orjson.dumps({"promised": self.promised, "failing": self.failing, "known": self.known})


def _map_in(body: bytes) -> dict[str, Any] | None:
    try:
        value = orjson.loads(body)
    except orjson.JSONDecodeError:
        return None
    return value if isinstance(value, dict) else None

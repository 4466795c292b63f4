"""The JSON messages of `/promise` between controllers. Each field is decoded separately.

The previous version sends neither `back` nor `known` nor `revision`. A missing field counts neither as a promise nor as
a failure to reach the store nor as knowledge of cancellations or revisions."""

from __future__ import annotations

from typing import Any

import msgspec
import orjson


class PromiseRequest(msgspec.Struct, frozen=True):
    """Asks a controller for a promise, or only for the cancellations it knows."""

    promise: bool
    cancellations: dict[str, Any]  # request for cancellations, from `Cancellations.peer_request`

    @classmethod
    def from_body(cls, body: bytes) -> PromiseRequest:
        """Decode a request; an invalid body is an empty request."""
        fields = _decode_map(body) or {}
        return cls(bool(fields.get("promise")), fields)

    def to_body(self) -> bytes:
        """Encode as JSON."""
        return orjson.dumps({"promise": self.promise, **self.cancellations})


class PromiseAnswer(msgspec.Struct, frozen=True):
    """Whether the promise is given, and the cancellations that the answering controller knows."""

    promised: bool
    failing: bool  # the answering controller cannot reach the key-value store either
    known: Any  # cancellations, from `Cancellations.answer_peer`
    revision: int | None  # the highest revision of the store that the answering controller knows
    has_known: bool = True  # False for the previous version, which does not send the field

    @classmethod
    def from_body(cls, body: bytes) -> PromiseAnswer | None:
        """Decode an answer; None if the body is not a JSON object."""
        fields = _decode_map(body)
        if fields is None:
            return None
        return cls(
            bool(fields.get("promised")),
            bool(fields.get("failing")),
            fields.get("known"),
            _revision(fields.get("revision")),
            has_known="known" in fields,
        )

    def to_body(self) -> bytes:
        """Encode as JSON."""
        return orjson.dumps(
            {"promised": self.promised, "failing": self.failing, "known": self.known, "revision": self.revision}
        )


def _revision(value: Any) -> int | None:
    return value if isinstance(value, int) and not isinstance(value, bool) and value >= 0 else None


def _decode_map(body: bytes) -> dict[str, Any] | None:
    try:
        value = orjson.loads(body)
    except orjson.JSONDecodeError:
        return None
    return value if isinstance(value, dict) else None

"""What controllers say to each other about being alive."""

from __future__ import annotations

from typing import TypeVar

import msgspec
import orjson

_LONGEST_LABEL = 200  # characters


class MalformedMessageError(Exception):
    """The body is no such message."""


class Incarnation(msgspec.Struct, frozen=True, order=True, array_like=True):
    """Orders what is heard of a controller: of two processes under one label the later one has the larger number, and a
    process raises its refutations when it learns that it is suspected."""

    process: int = 0  # revision at which the process registered in the key-value store; 0 before that
    refutations: int = 0


class PeerHeartbeat(msgspec.Struct, frozen=True, forbid_unknown_fields=False):
    """A sign of life of its sender."""

    cluster: str  # guards against a controller of another deployment under the same address
    sender: str
    incarnation: Incarnation
    sequence: int
    suspects: dict[str, Incarnation] = {}  # whom the sender suspects, and as of which incarnation
    leaving: bool = False  # the sender stops as planned


class ProbeRequest(msgspec.Struct, frozen=True):
    """Asks another controller to probe a third one."""

    cluster: str
    sender: str
    target: str


class ProbeAnswer(msgspec.Struct, frozen=True):
    """What the third one said, if it said anything."""

    heard: PeerHeartbeat | None = None


_M = TypeVar("_M", PeerHeartbeat, ProbeRequest, ProbeAnswer)


def parse(body: bytes, kind: type[_M]) -> _M:
    """Decode a message, or raise MalformedMessageError."""
    try:
        message = msgspec.convert(orjson.loads(body), kind, strict=True)
    except (orjson.JSONDecodeError, msgspec.ValidationError) as error:
        raise MalformedMessageError(str(error)) from None
    if isinstance(message, PeerHeartbeat) and not _plausible(message):
        raise MalformedMessageError("a number below 0 or a label that is too long")
    return message


def _plausible(message: PeerHeartbeat) -> bool:
    numbers = (message.sequence, message.incarnation.process, message.incarnation.refutations)
    return min(numbers) >= 0 and len(message.sender) <= _LONGEST_LABEL


def encode(message: PeerHeartbeat | ProbeRequest | ProbeAnswer) -> bytes:
    """As it goes over the wire."""
    return orjson.dumps(msgspec.to_builtins(message))

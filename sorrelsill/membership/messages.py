"""Messages of failure detection between controllers."""

from __future__ import annotations

from typing import TypeVar

import msgspec
import orjson

_MAX_LABEL_LENGTH = 200  # characters


class MalformedMessageError(Exception):
    """The body is not a valid message of the expected type."""


class Incarnation(msgspec.Struct, frozen=True, order=True, array_like=True):
    """Orders the messages of a controller. Of two processes with one label, the later one has the larger `process`; a
    process increments `refutations` when it learns that it is suspected."""

    process: int = 0  # revision at which the process registered in the key-value store; 0 before that
    refutations: int = 0


class PeerHeartbeat(msgspec.Struct, frozen=True, forbid_unknown_fields=False):
    """Shows that its sender is alive."""

    cluster: str  # guards against a controller of another deployment under the same address
    sender: str
    incarnation: Incarnation
    sequence: int
    suspects: dict[str, Incarnation] = {}  # controllers that the sender suspects, with the incarnation it suspects
    leaving: bool = False  # the sender is shutting down as planned


class ProbeRequest(msgspec.Struct, frozen=True):
    """Asks another controller to probe a third one."""

    cluster: str
    sender: str
    target: str


class ProbeAnswer(msgspec.Struct, frozen=True):
    """The heartbeat with which the probed controller answered, or None if it did not answer."""

    heard: PeerHeartbeat | None = None


_Message = TypeVar("_Message", PeerHeartbeat, ProbeRequest, ProbeAnswer)


def parse(body: bytes, message_type: type[_Message]) -> _Message:
    """Decode a message, or raise MalformedMessageError."""
    try:
        message = msgspec.convert(orjson.loads(body), message_type, strict=True)
    except (orjson.JSONDecodeError, msgspec.ValidationError) as error:
        raise MalformedMessageError(str(error)) from None
    if isinstance(message, PeerHeartbeat) and not _is_valid(message):
        raise MalformedMessageError("negative number, or label too long")
    return message


def _is_valid(message: PeerHeartbeat) -> bool:
    numbers = (message.sequence, message.incarnation.process, message.incarnation.refutations)
    return min(numbers) >= 0 and len(message.sender) <= _MAX_LABEL_LENGTH


def encode(message: PeerHeartbeat | ProbeRequest | ProbeAnswer) -> bytes:
    """Encode a message as JSON."""
    return orjson.dumps(msgspec.to_builtins(message))

"""Encodes a controller's responses to users, workers and operators as MessagePack."""

from __future__ import annotations

import msgspec

encode = msgspec.msgpack.Encoder().encode

"""How a controller's answers to users, workers and operators are encoded: msgpack."""

from __future__ import annotations

import msgspec

encode = msgspec.msgpack.Encoder().encode

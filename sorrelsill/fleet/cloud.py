"""The cloud's client: its calls, under its rate limit."""

from __future__ import annotations

from collections.abc import Callable
from typing import Any

import msgspec

from sorrelsill import constants
from sorrelsill.fleet.errors import CloudError
from sorrelsill.http import Client, NoAnswerError, NotSentError, always
from sorrelsill.settings import CloudLimits
from sorrelsill.token_bucket import TokenBucket

_encode = msgspec.msgpack.Encoder().encode
_decode = msgspec.msgpack.Decoder().decode


class Cloud:
    """The cloud's calls, under its rate limit."""

    def __init__(self, client: Client, limits: CloudLimits) -> None:
        self._client = client
        self.bucket = TokenBucket(limits.rps * constants.CLOUD_SHARE, max(1.0, limits.rps))

    async def call(
        self, method: str, target: str, body: msgspec.Struct | None = None, may_send: Callable[[], bool] = always
    ) -> dict[str, Any]:
        """One call; `may_send` is asked right before it goes out. The cloud knows no tokens, so this alone keeps a
        deposed leader from renting or returning machines. CloudError if it was refused or not answered."""
        await self.bucket.wait()
        try:
            status, raw = await self._client.request(
                method, target, _encode(body) if body is not None else b"", constants.CLOUD_TIMEOUT_S, may_send
            )
            answer = _decode(raw) if raw else {}
        except NotSentError as error:
            raise CloudError(str(error)) from None
        except (NoAnswerError, msgspec.DecodeError) as error:
            raise CloudError(str(error), sent=True) from None
        if status == 429:
            self.bucket.drain()
        if status != 200 or not isinstance(answer, dict):
            why = answer.get("error") if isinstance(answer, dict) else None
            raise CloudError(f"{status} {why}", status, sent=status not in (400, 429, 503))
        return answer

    async def rent(self, request: msgspec.Struct, may_send: Callable[[], bool]) -> list[str]:
        """Names of the machines that were rented, at most as many as requested. CloudError as of `call`, and for an
        answer that names none."""
        answer = await self.call("POST", "/rentals", request, may_send)
        try:
            return [str(name) for name in answer["hosts"]]
        except (KeyError, TypeError) as error:
            raise CloudError(str(error), sent=True) from None

    async def return_machines(self, request: msgspec.Struct, may_send: Callable[[], bool]) -> None:
        """Return machines; they are charged for no longer. CloudError as of `call`."""
        await self.call("POST", "/rentals/return", request, may_send)

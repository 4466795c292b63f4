"""Client of the cloud's API that keeps to the cloud's rate limit."""

from __future__ import annotations

from collections.abc import Callable
from typing import Any

import msgspec

from sorrelsill import constants
from sorrelsill.fleet.errors import CloudError
from sorrelsill.http import Client, NoAnswerError, NotSentError, always_allowed
from sorrelsill.settings import CloudLimits
from sorrelsill.token_bucket import TokenBucket

_encode = msgspec.msgpack.Encoder().encode
_decode = msgspec.msgpack.Decoder().decode


class CloudClient:
    """Sends requests to the cloud within its rate limit."""

    def __init__(self, client: Client, limits: CloudLimits) -> None:
        self._client = client
        self.rate_limiter = TokenBucket(limits.rps * constants.CLOUD_SHARE, max(1.0, limits.rps))

    async def call(
        self,
        method: str,
        target: str,
        body: msgspec.Struct | None = None,
        may_send: Callable[[], bool] = always_allowed,
    ) -> dict[str, Any]:
        """Send one request and return the decoded answer.

        `may_send` is checked right before the request is sent. The cloud does not check fencing tokens, so this check
        alone keeps a former leader from renting or returning machines. Raises CloudError if the request was refused or
        not answered."""
        await self.rate_limiter.wait()
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
            self.rate_limiter.drain()
        if status != 200 or not isinstance(answer, dict):
            reason = answer.get("error") if isinstance(answer, dict) else None
            raise CloudError(f"{status} {reason}", status, sent=status not in (400, 429, 503))
        return answer

    async def rent(self, request: msgspec.Struct, may_send: Callable[[], bool]) -> list[str]:
        """Rent machines and return their names, at most as many as requested. Raises CloudError as `call` does, and if
        the answer holds no list of names."""
        answer = await self.call("POST", "/rentals", request, may_send)
        try:
            return [str(name) for name in answer["hosts"]]
        except (KeyError, TypeError) as error:
            raise CloudError(str(error), sent=True) from None

    async def return_machines(self, request: msgspec.Struct, may_send: Callable[[], bool]) -> None:
        """Return machines, which ends their charges. Raises CloudError as `call` does."""
        await self.call("POST", "/rentals/return", request, may_send)

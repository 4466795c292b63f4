"""HTTP routes for users: submissions, polls, cancellations, and the list of a team's jobs."""

from __future__ import annotations

import logging
import re
from collections.abc import Awaitable, Callable
from urllib.parse import parse_qs

import msgspec
import trio

from sorrelsill import constants
from sorrelsill.controller.encoding import encode
from sorrelsill.events import log_event
from sorrelsill.http import Reply, Request
from sorrelsill.jobs import Admission, Answer, BusyError, ErrorAnswer
from sorrelsill.store import WatchCache

log = logging.getLogger(__name__)

_decode = msgspec.msgpack.Decoder().decode
_JOB_PATH = re.compile(r"/v2/runs/([^/]+)(/cancel|/why)?\Z")
_TEAM_PATH = re.compile(r"/v2/teams/([^/]+)/runs\Z")


class UserRoutes:
    """Answers users' requests. A request that cannot be served is refused at once, with a time after which to retry."""

    def __init__(self, admission: Admission, watch_cache: WatchCache, count_event: Callable[[str], None]) -> None:
        self._admission = admission
        self._watch_cache = watch_cache
        self._count_event = count_event

    async def handle(self, request: Request) -> Reply | None:
        """Answers a request, or returns None if its path is not a route for users."""
        path = request.path
        if path == "/v2/runs":
            return await self._require_method("POST", request, lambda: self._submit(request))
        job = _JOB_PATH.match(path)
        if job:
            return await self._handle_job(request, job[1], job[2])
        team = _TEAM_PATH.match(path)
        if team:
            after = parse_qs(request.query).get("after", [""])[0]
            return await self._require_method("GET", request, lambda: self._admission.team(team[1], after))
        return None

    async def _handle_job(self, request: Request, job_id: str, action: str | None) -> Reply:
        if action == "/cancel":
            return await self._require_method("POST", request, lambda: self._admission.cancel(job_id))
        if action == "/why":
            return await self._require_method("GET", request, lambda: self._admission.explain(job_id))
        return await self._require_method("GET", request, lambda: self._admission.poll(job_id))

    async def _require_method(self, method: str, request: Request, call: Callable[[], Awaitable[Answer]]) -> Reply:
        if request.method != method:
            return Reply(405)
        try:
            status, answer = await call()
        except BusyError as busy:
            # Refused at once rather than queued: the user learns when to retry.
            self._count_event("busy")
            log_event(log, logging.DEBUG, "answer", path=request.path, status=503, reason=str(busy))
            return Reply(503, encode({"error": str(busy)}), [("Retry-After", str(constants.RETRY_AFTER_S))])
        self._count_event(f"answer_{status}")
        if log.isEnabledFor(logging.DEBUG):
            log_event(
                log,
                logging.DEBUG,
                "answer",
                method=method,
                path=request.path,
                status=status,
                phase=answer.phase,
                view_revision=self._watch_cache.rev,
                view_age_s=trio.current_time() - self._watch_cache.fresh_at,
            )
        return Reply(status, encode(answer))

    async def _submit(self, request: Request) -> Answer:
        try:
            body = _decode(request.body)
        except (msgspec.DecodeError, UnicodeDecodeError, RecursionError, ValueError):
            return Answer(400, ErrorAnswer("body: not MessagePack"))
        return await self._admission.submit(body)

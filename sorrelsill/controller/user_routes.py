"""The users' routes: submissions, polls, cancellations, a team's list."""

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
_JOB = re.compile(r"/v2/runs/([^/]+)(/cancel|/why)?\Z")
_TEAM = re.compile(r"/v2/teams/([^/]+)/runs\Z")


class UserRoutes:
    """Each call is answered, or refused at once with the time to come back."""

    def __init__(self, admission: Admission, watch_cache: WatchCache, count_event: Callable[[str], None]) -> None:
        self._admission = admission
        self._watch_cache = watch_cache
        self._count_event = count_event

    async def handle(self, request: Request) -> Reply | None:
        """The answer, or None if the path is not one of the users'."""
        path = request.path
        if path == "/v2/runs":
            return await self._only("POST", request, lambda: self._submit(request))
        job = _JOB.match(path)
        if job:
            return await self._handle_job(request, job[1], job[2])
        team = _TEAM.match(path)
        if team:
            after = parse_qs(request.query).get("after", [""])[0]
            return await self._only("GET", request, lambda: self._admission.team(team[1], after))
        return None

    async def _handle_job(self, request: Request, job_id: str, action: str | None) -> Reply:
        if action == "/cancel":
            return await self._only("POST", request, lambda: self._admission.cancel(job_id))
        if action == "/why":
            return await self._only("GET", request, lambda: self._admission.explain(job_id))
        return await self._only("GET", request, lambda: self._admission.poll(job_id))

    async def _only(self, method: str, request: Request, call: Callable[[], Awaitable[Answer]]) -> Reply:
        if request.method != method:
            return Reply(405)
        try:
            status, answer = await call()
        except BusyError as busy:
            # Never held back: the user is told at once when to come back.
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

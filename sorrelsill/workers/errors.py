"""Errors of this package."""

from __future__ import annotations


class WorkersError(Exception):
    """Base class of the errors that this package raises."""


class InvalidHeartbeatError(WorkersError):
    """The body is not a worker's heartbeat."""


class FencedError(WorkersError):
    """A worker has seen a higher fencing token than ours: a later leader exists."""

    def __init__(self, fencing_token: int) -> None:
        super().__init__(fencing_token)
        self.fencing_token = fencing_token

"""Exceptions raised by this package."""

from __future__ import annotations


class WorkersError(Exception):
    """Base class of this package's exceptions."""


class InvalidHeartbeatError(WorkersError):
    """A request body could not be parsed as a worker's heartbeat."""


class FencedError(WorkersError):
    """A worker has seen a higher fencing token than ours, so a newer leader exists."""

    def __init__(self, fencing_token: int) -> None:
        super().__init__(fencing_token)
        self.fencing_token = fencing_token

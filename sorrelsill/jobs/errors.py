"""Errors of a user's request about a job."""

from __future__ import annotations


class JobError(Exception):
    """Base class: a user's request can't be carried out."""


class InvalidJobError(JobError):
    """A job specification or record is malformed. The message names the field and says what is wrong with it."""


class BusyError(JobError):
    """The request can't be served now; the user is told to retry later."""

"""Errors of a user's request about a job."""

from __future__ import annotations


class JobError(Exception):
    """A user's request can't be carried out."""


class InvalidJobError(JobError):
    """A job specification or record is malformed; the text names the field and what is wrong with it."""


class BusyError(JobError):
    """The request can't be served now; the user is told to come back."""

"""A controller: its parts put together, its routes, and its loops."""

from sorrelsill.controller.controller import Controller

__all__ = ["Controller"]

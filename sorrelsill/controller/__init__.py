"""The controller process: connects its components, serves the HTTP routes, and runs the leader's loops."""

from sorrelsill.controller.controller import Controller

__all__ = ["Controller"]

"""Who leads: the leased key, pings, validity, yielding and taking over."""

from sorrelsill.leadership.elector import Elector, Watchdog

__all__ = ["Elector", "Watchdog"]

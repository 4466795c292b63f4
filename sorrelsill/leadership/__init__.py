"""Who leads: the leased key, pings, validity, yielding and taking over."""

from sorrelsill.leadership.leader_elector import LeaderElector, Watchdog

__all__ = ["LeaderElector", "Watchdog"]

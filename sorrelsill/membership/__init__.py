"""Failure detection between controllers: which are alive, suspected or confirmed to have failed.

The results are informative only: the right to lead comes from the leader key alone. Importing this package is cheap,
because controllers have little CPU time to start: its dependencies are loaded only if the feature is enabled."""

from sorrelsill.membership.factory import make_membership
from sorrelsill.membership.keys import PRESENCE_PREFIX
from sorrelsill.membership.settings import MembershipSettings, load_membership

__all__ = ["PRESENCE_PREFIX", "MembershipSettings", "load_membership", "make_membership"]

"""Failure detection between controllers: who is alive, suspected, confirmed to be gone. It entitles nobody to act.

Importing the package is cheap: what it needs is loaded only where the feature is on, since start-up time is charged."""

from sorrelsill.membership.factory import make_membership
from sorrelsill.membership.keys import PRESENCE_PREFIX
from sorrelsill.membership.settings import MembershipSettings, load_membership

__all__ = ["PRESENCE_PREFIX", "MembershipSettings", "load_membership", "make_membership"]

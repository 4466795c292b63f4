"""Failure detection between controllers: who is alive, suspected, confirmed to be gone. It entitles nobody to act.

Importing the package is cheap: what it needs is loaded only where the feature is on, since start-up time is charged."""

from __future__ import annotations

from collections.abc import Callable
from typing import TYPE_CHECKING

from sorrelsill.membership.settings import MembershipSettings, load_membership

if TYPE_CHECKING:
    from sorrelsill.http import Client
    from sorrelsill.membership.service import Membership
    from sorrelsill.settings import Settings
    from sorrelsill.store import KeyValueStore, WatchCache

PRESENCE_PREFIX = "s/n/"  # keys by which controllers show in the state service that they run


def make_membership(
    settings: Settings,
    membership: MembershipSettings,
    store: KeyValueStore,
    watch_cache: WatchCache,
    make_client: Callable[[str], Client],
    count: Callable[[str], None],
) -> Membership:
    """The feature, for a controller; `count` is told of its events."""
    from sorrelsill.membership.presence import PresenceKeeper  # noqa: PLC0415 - see above
    from sorrelsill.membership.service import Membership  # noqa: PLC0415

    presence = PresenceKeeper(store, watch_cache, settings.label, membership.presence_lease_s)
    return Membership(settings.label, settings.members, membership, make_client, presence, count)


__all__ = ["PRESENCE_PREFIX", "MembershipSettings", "load_membership", "make_membership"]

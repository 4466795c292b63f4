"""Creates the failure detection of a controller. Its dependencies are imported only when it is enabled."""

from __future__ import annotations

from collections.abc import Callable
from typing import TYPE_CHECKING

from sorrelsill.membership.settings import MembershipSettings

if TYPE_CHECKING:
    from sorrelsill.http import Client
    from sorrelsill.membership.service import Membership
    from sorrelsill.settings import Settings
    from sorrelsill.store import KeyValueStore, WatchCache


def make_membership(
    settings: Settings,
    membership: MembershipSettings,
    store: KeyValueStore,
    watch_cache: WatchCache,
    make_client: Callable[[str], Client],
    count_event: Callable[[str], None],
) -> Membership:
    """Create the failure detection of a controller; `count_event` is called with the name of each of its events."""
    # Imported here because these imports are slow, and controllers have little CPU time to start.
    from sorrelsill.membership.presence import PresenceKeeper  # noqa: PLC0415
    from sorrelsill.membership.service import Membership  # noqa: PLC0415

    presence = PresenceKeeper(store, watch_cache, settings.label, membership.presence_lease_s)
    return Membership(settings.label, settings.members, membership, make_client, presence, count_event)

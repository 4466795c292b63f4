"""The operators' file that turns failure detection on, checked field by field."""

from __future__ import annotations

import msgspec

from sorrelsill.settings import SettingsError, load_hcl


class MembershipSettings(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Timings of detection. None of them entitles a controller to anything; they only decide how soon it is noticed."""

    heartbeat_s: float = 0.5  # between two heartbeats to each other controller
    suspect_sigmas: float = 6.0  # silence beyond the mean gap by so many of its spreads is suspicious ...
    suspect_min_s: float = 1.5  # ... but none shorter than this
    probe_every_s: float = 1.0  # between two rounds of probes of a suspected controller
    probe_timeout_s: float = 0.8  # for the answer to a probe, direct or through another controller
    confirm_s: float = 4.0  # a controller is suspected for this long at the least before it is confirmed
    presence_lease_s: float = 10.0  # the lease in the key-value store that a confirmed controller must have lost


_SHORTEST_S = 0.05  # s; below this a timing would only cost messages
_LONGEST_S = 600.0  # s; the longest lease that the key-value store grants
_HEARTBEATS_BEFORE_SUSPICION = 2.0  # heartbeats that may be missed
_RENEWALS_OF_LEASE = 3.0  # renewals of the presence lease before it runs out


def check(settings: MembershipSettings, path: str) -> MembershipSettings:
    """Ranges, and fields that would contradict each other."""
    for field in settings.__struct_fields__:
        value = getattr(settings, field)
        if not _SHORTEST_S <= value <= _LONGEST_S:
            raise SettingsError.of(path, field, f"must lie between {_SHORTEST_S:g} and {_LONGEST_S:g}, is {value:g}")
    if settings.suspect_min_s < _HEARTBEATS_BEFORE_SUSPICION * settings.heartbeat_s:
        raise SettingsError.of(path, "suspect_min_s", "must be two heartbeats at the least")
    if settings.probe_timeout_s > settings.probe_every_s:
        raise SettingsError.of(path, "probe_timeout_s", "must not be longer than probe_every_s")
    if settings.confirm_s < settings.probe_every_s + settings.probe_timeout_s:
        raise SettingsError.of(path, "confirm_s", "must leave time for a round of probes")
    if settings.presence_lease_s < _RENEWALS_OF_LEASE * settings.heartbeat_s:
        raise SettingsError.of(path, "presence_lease_s", "must be three heartbeats at the least")
    return settings


def load_membership(path: str | None) -> MembershipSettings | None:
    """Read and check the file; without one, detection is off."""
    if not path:
        return None
    return check(load_hcl(path, MembershipSettings), path)

"""The settings file that enables failure detection, and the validation of its fields."""

from __future__ import annotations

import msgspec

from sorrelsill.settings import SettingsError, load_hcl


class MembershipSettings(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Timings of failure detection. They determine how soon a failure is detected; no right to act depends on them."""

    heartbeat_s: float = 0.5  # s; interval between heartbeats to each other controller
    suspect_sigmas: float = 6.0  # standard deviations above the mean heartbeat interval before suspicion
    suspect_min_s: float = 1.5  # s; lower bound of the suspicion threshold
    probe_every_s: float = 1.0  # s; interval between probe rounds of a suspected controller
    probe_timeout_s: float = 0.8  # s; timeout of a direct probe; an indirect one may take twice as long
    confirm_s: float = 4.0  # s; minimum duration of the suspicion before a failure is confirmed
    presence_lease_s: float = 10.0  # s; lease of the presence key; must have ended before a failure is confirmed


_MIN_TIMING_S = 0.05  # s; a shorter timing would only cost more messages
_MAX_TIMING_S = 600.0  # s; the longest lease that the key-value store grants
_MIN_HEARTBEATS_BEFORE_SUSPICION = 2.0  # heartbeats; suspect_min_s covers so many, as they may be late or lost
_MIN_HEARTBEATS_PER_PRESENCE_LEASE = 3.0  # heartbeats; presence_lease_s must cover so many intervals


def validate(settings: MembershipSettings, path: str) -> MembershipSettings:
    """Check ranges and contradictions between fields.

    Raises SettingsError with the file, the field and the reason."""
    for field in settings.__struct_fields__:
        value = getattr(settings, field)
        if not _MIN_TIMING_S <= value <= _MAX_TIMING_S:
            raise SettingsError.of(
                path, field, f"must lie between {_MIN_TIMING_S:g} and {_MAX_TIMING_S:g}, is {value:g}"
            )
    if settings.suspect_min_s < _MIN_HEARTBEATS_BEFORE_SUSPICION * settings.heartbeat_s:
        raise SettingsError.of(path, "suspect_min_s", "must be two heartbeats at the least")
    if settings.probe_timeout_s > settings.probe_every_s:
        raise SettingsError.of(path, "probe_timeout_s", "must not be longer than probe_every_s")
    if settings.confirm_s < settings.probe_every_s + settings.probe_timeout_s:
        raise SettingsError.of(path, "confirm_s", "must leave time for a round of probes")
    if settings.presence_lease_s < _MIN_HEARTBEATS_PER_PRESENCE_LEASE * settings.heartbeat_s:
        raise SettingsError.of(path, "presence_lease_s", "must be three heartbeats at the least")
    return settings


def load_membership(path: str | None) -> MembershipSettings | None:
    """Read and validate the file. Without a path, failure detection is disabled and the result is None."""
    if not path:
        return None
    return validate(load_hcl(path, MembershipSettings), path)

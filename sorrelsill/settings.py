"""The platform's settings file (TOML) and the operators' own (HCL), checked, and the timings derived
from them. Unknown fields are ignored; a bad one is refused with a line that names file, field and reason."""

from __future__ import annotations

import math
import tomllib
from typing import Any, TypeVar

import msgspec

from sorrelsill import constants

_K = TypeVar("_K", bound=msgspec.Struct)


class SettingsError(Exception):
    """One clear line: which file, which field, why."""

    @classmethod
    def of(cls, path: str, field: str, reason: str) -> SettingsError:
        """The line for a field."""
        return cls(f"{path}: {field}: {reason}")


class Member(msgspec.Struct, frozen=True):
    """Another controller."""

    label: str
    addr: str
    area: str = ""


class Services(msgspec.Struct, frozen=True):
    """Addresses of the cloud and of the state service."""

    cloud: str
    state: str


class Team(msgspec.Struct, frozen=True):
    """What a team is guaranteed and may use at the most; 0 means none."""

    name: str
    cpus: float = 0.0
    cpus_max: float = 0.0
    gpus: float = 0.0
    gpus_max: float = 0.0


class Objective(msgspec.Struct, frozen=True, rename={"job_class": "class"}):
    """An aim for a class of jobs."""

    kind: str
    job_class: str | None = None
    within_s: float | None = None
    after_s: float | None = None
    share: float | None = None
    times: float | None = None


class Workers(msgspec.Struct, frozen=True, rename={"heartbeat_interval_s": "report_s"}):
    """The workers' timings, in seconds."""

    heartbeat_interval_s: float
    lease_s: float
    cancel_s: float
    gang_wait_s: float = 60.0
    gang_peer_s: float = 5.0


class NextLimits(msgspec.Struct, frozen=True):
    """What the state service will allow from some moment on, without notice; 0 where nothing changes."""

    write_rps: float = 0.0
    value_kb: float = 0.0
    txn_ops: int = 0


class StateLimits(msgspec.Struct, frozen=True):
    """Rates and sizes that the state service allows."""

    rps: float
    write_rps: float
    value_kb: float
    txn_ops: int
    next: NextLimits | None = None

    @property
    def coming(self) -> StateLimits:
        """The smaller of what holds now and what will."""
        n = self.next or NextLimits()
        return StateLimits(
            self.rps,
            min(self.write_rps, n.write_rps or self.write_rps),
            min(self.value_kb, n.value_kb or self.value_kb),
            min(self.txn_ops, n.txn_ops or self.txn_ops),
        )


class CloudLimits(msgspec.Struct, frozen=True):
    """The cloud's rate, and how far its machine list lags."""

    rps: float
    list_lag_s: float = 0.0


class ControllerResources(msgspec.Struct, frozen=True):
    """What a controller may use of its machine."""

    cpu: float = 1.0
    ram_mb: float = 512.0
    sockets: int = 1024


class PlatformSettings(msgspec.Struct, frozen=True):
    """What the platform tells of the deployment."""

    workers: Workers
    state: StateLimits
    cloud: CloudLimits
    nodes: int = 1
    zones: list[str] = []
    time_bound_ms: float = 0.0
    teams: list[Team] = []
    objectives: list[Objective] = []
    quota: ControllerResources = ControllerResources()


class Settings(msgspec.Struct, frozen=True):
    """The platform's settings file."""

    label: str
    listen: str
    services: Services
    facts: PlatformSettings
    area: str = ""
    peer_listen: str = ""
    members: list[Member] = []

    @property
    def optimise_latency(self) -> bool:
        """Whether an aim counts seconds since submission for work that ends: then a machine's boot time
        comes too late and idle machines are worth keeping. Deadlines leave time to boot, and where a class has them,
        seconds that are named besides are only an outer bound; the aims on money are not told to controllers, so
        elsewhere money is saved. Found on measured days: with such a bound added, no idle machine ever went back; the
        same with seconds named for another class than the one with the deadlines, which gets room kept of its own."""
        aims = self.facts.objectives
        if any(o.kind == "guarantee" for o in aims):
            return True
        return any(o.kind == "finished" for o in aims) and not any(o.kind == "deadline" for o in aims)


class Timings(msgspec.Struct, frozen=True, rename={"renewal_interval_s": "ping_s"}):
    """What the leadership and loss rules use, derived so that the values cannot contradict each other. In seconds."""

    lease_s: float
    renewal_interval_s: float  # between two renewals of the leader's lease; shown to operators as `ping_s`
    validity_s: float
    loss_s: float
    stall_s: float
    self_release_s: float
    overdue_s: float
    renew_s: float  # how old the certainty of knowing all cancellations may be when a worker's lease is renewed

    @classmethod
    def derive(cls, workers: Workers, operator: OperatorOverrides) -> Timings:
        """All timings out of the workers' and what operators override."""
        lease = operator.lease_s or min(
            constants.LEASE_MAX_S, max(constants.LEASE_MIN_S, workers.lease_s * constants.LEASE_OF_WORKER_LEASE)
        )
        return cls(
            lease_s=lease,
            renewal_interval_s=min(constants.PING_MAX_S, lease * constants.PING_OF_LEASE),
            validity_s=lease * constants.VALIDITY_OF_LEASE,
            loss_s=workers.lease_s * (1 + 2 * constants.CLOCK_DRIFT) + constants.LOSS_MARGIN_S,
            stall_s=operator.stall_limit_s or constants.STALL_LIMIT_S,
            self_release_s=operator.self_release_s or constants.SELF_RELEASE_S,
            overdue_s=workers.heartbeat_interval_s * constants.OVERDUE_OF_REPORT + constants.OVERDUE_EXTRA_S,
            # Where `cancel_s` leaves less than this besides the lease, leases alone can't keep the rule, and an
            # ordinary leader must still be able to renew them.
            renew_s=max(
                constants.WATCH_CACHE_STALE_S,
                workers.cancel_s - workers.lease_s * (1 + 2 * constants.CLOCK_DRIFT) - constants.RENEW_MARGIN_S,
            ),
        )


class OperatorOverrides(msgspec.Struct, frozen=True):
    """Operators' own settings; 0 stands for the derived or built-in value."""

    lease_s: float = 0.0
    stall_limit_s: float = 0.0
    self_release_s: float = 0.0
    sample: int = 0
    tick_s: float = 0.0


def split_addr(addr: str) -> tuple[str, int]:
    """`10.0.0.1:8080` to its parts; names are not looked up, as the machines have no resolver."""
    host, _, port = addr.rpartition(":")
    parts = host.split(".")
    if len(parts) != 4 or not all(p.isdecimal() and int(p) < 256 for p in parts):
        raise ValueError(f"{addr!r} is not an IPv4 address with a port")
    if not port.isdecimal() or not 0 <= int(port) < 65536:
        raise ValueError(f"{addr!r} has no valid port")
    return host, int(port)


def _positive(path: str, field: str, value: float, zero: bool = False) -> None:
    if not math.isfinite(value) or value < 0 or (value == 0 and not zero):
        raise SettingsError(f"{path}: {field}: must be a positive number, is {value}")


def check(settings: Settings, path: str) -> Settings:
    """What types alone do not tell: addresses, ranges, names that must differ."""
    addresses = [("listen", settings.listen), ("services.cloud", settings.services.cloud)]
    addresses.append(("services.state", settings.services.state))
    if settings.peer_listen or settings.members:
        addresses.append(("peer_listen", settings.peer_listen))
    addresses += [(f"members[{m.label}].addr", m.addr) for m in settings.members]
    for field, addr in addresses:
        try:
            split_addr(addr)
        except ValueError as error:
            raise SettingsError(f"{path}: {field}: {error}") from None
    facts = settings.facts
    for field, value in (
        ("facts.workers.report_s", facts.workers.heartbeat_interval_s),
        ("facts.workers.lease_s", facts.workers.lease_s),
        ("facts.workers.cancel_s", facts.workers.cancel_s),
        ("facts.state.rps", facts.state.rps),
        ("facts.state.write_rps", facts.state.write_rps),
        ("facts.state.value_kb", facts.state.value_kb),
        ("facts.state.txn_ops", facts.state.txn_ops),
        ("facts.cloud.rps", facts.cloud.rps),
        ("facts.quota.cpu", facts.quota.cpu),
        ("facts.quota.sockets", facts.quota.sockets),
    ):
        _positive(path, field, value)
    for prefix, ops in (("", facts.state.txn_ops), ("next.", facts.state.coming.txn_ops)):
        if ops < constants.LEAST_OPS:
            raise SettingsError(
                f"{path}: facts.state.{prefix}txn_ops: must be at least {constants.LEAST_OPS}, is {ops}"
            )
    if facts.state.next is not None:
        for name in ("write_rps", "value_kb", "txn_ops"):
            _positive(path, f"facts.state.next.{name}", getattr(facts.state.next, name), zero=True)
    for team in facts.teams:
        for name in ("cpus", "cpus_max", "gpus", "gpus_max"):
            _positive(path, f"facts.teams[{team.name}].{name}", getattr(team, name), zero=True)
    labels = [settings.label, *(m.label for m in settings.members)]
    if len(set(labels)) != len(labels):
        raise SettingsError(f"{path}: members: two controllers have the same label")
    if len({t.name for t in facts.teams}) != len(facts.teams):
        raise SettingsError(f"{path}: facts.teams: two teams have the same name")
    return settings


def _convert(raw: Any, kind: type[Any], path: str) -> Any:
    try:
        return msgspec.convert(raw, kind, strict=True)
    except msgspec.ValidationError as error:
        text = str(error)
        reason, _, where = text.partition(" - at ")
        field = where.strip("`").removeprefix("$.") or "top level"
        raise SettingsError(f"{path}: {field}: {reason}") from None


def load(path: str) -> Settings:
    """Read and check the platform's file."""
    try:
        with open(path, "rb") as file:
            raw = tomllib.load(file)
    except OSError as error:
        raise SettingsError(f"{path}: file: {error.strerror}") from None
    except (tomllib.TOMLDecodeError, UnicodeDecodeError) as error:
        raise SettingsError(f"{path}: syntax: {error}") from None
    return check(_convert(raw, Settings, path), path)


def load_hcl(path: str, kind: type[_K]) -> _K:
    """Read one of the operators' HCL files; the parser is imported only then, since start-up time is charged."""
    import hcl2  # noqa: PLC0415

    try:
        with open(path, encoding="utf-8") as file:
            raw = hcl2.load(file)
    except OSError as error:
        raise SettingsError(f"{path}: file: {error.strerror}") from None
    except Exception as error:  # the parser's own errors share no base class
        first = str(error).strip().splitlines()
        raise SettingsError(f"{path}: syntax: {first[0] if first else type(error).__name__}") from None
    found: _K = _convert({k: v for k, v in raw.items() if not k.startswith("__")}, kind, path)
    return found


def load_operator(path: str | None) -> OperatorOverrides:
    """Read the operators' own settings; without a file, nothing is overridden."""
    if not path:
        return OperatorOverrides()
    operator = load_hcl(path, OperatorOverrides)
    for field in ("lease_s", "stall_limit_s", "self_release_s", "sample", "tick_s"):
        _positive(path, field, getattr(operator, field), zero=True)
    return operator

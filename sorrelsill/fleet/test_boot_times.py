"""When a booting instance counts as late, is replaced, and counts as failed."""

from sorrelsill import constants
from sorrelsill.fleet import BootingInstance, BootTimes, boot_failed, expected_instances
from sorrelsill.model import Catalog, MachineType

MACHINE_TYPE = MachineType("c8", 8.0, 0.0, 32.0, 50.0, 1.0, 1.0, 0.4, 30.0, ("a",))
CATALOG = Catalog({"c8": MACHINE_TYPE})


def booting(number: int, rented_at: float) -> BootingInstance:
    return BootingInstance(f"m{number}", "c8", "a", False, rented_at)


def observed_boots(*durations_s: float) -> BootTimes:
    boot_times = BootTimes()
    for boot_s in durations_s:
        boot_times.record("c8", boot_s)
    return boot_times


def test_published_boot_time_applies_until_enough_boots_are_observed() -> None:
    boot_times = observed_boots(200.0, 200.0)
    assert boot_times.late_after_s("c8", CATALOG) == constants.BOOT_LATE * 30.0 + constants.BOOT_EXTRA_S
    assert boot_times.failed_after_s("c8", CATALOG) == constants.BOOT_FAILED * 30.0 + constants.BOOT_EXTRA_S


def test_fast_boots_lower_the_limits_and_slow_boots_raise_them() -> None:
    quick, slow = observed_boots(*[25.0] * 10), observed_boots(*[30.0] * 10, 160.0)
    assert quick.failed_after_s("c8", CATALOG) == constants.BOOT_FAILED_OBSERVED * 30.0 + constants.BOOT_EXTRA_S
    assert slow.failed_after_s("c8", CATALOG) > 160.0
    assert observed_boots(*[100.0] * 10).late_after_s("c8", CATALOG) > 100.0


def test_only_part_of_the_late_instances_is_replaced() -> None:
    """When all instances are late, their replacements would be late as well."""
    boot_times, now = observed_boots(), 100.0
    one_late = [booting(0, 0.0), *[booting(n, 90.0) for n in range(1, 5)]]
    assert {each.name for each in expected_instances(one_late, boot_times, CATALOG, now)} == {"m1", "m2", "m3", "m4"}
    all_late = [booting(n, float(n)) for n in range(20)]
    assert len(expected_instances(all_late, boot_times, CATALOG, now)) == 10


def test_new_leader_judges_boots_by_the_machine_list_only() -> None:
    """Guards against a new leader that has received no heartbeats yet and returns all machines as failed boots."""
    boot_times, now = observed_boots(), 1000.0
    instance = booting(0, 0.0)
    assert not boot_failed(instance, boot_times, CATALOG, now, 990.0)
    instance.last_booting_age_s = 200.0
    assert boot_failed(instance, boot_times, CATALOG, now, 990.0)

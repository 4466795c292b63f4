"""When a machine on its way is late, replaced and given up."""

from sorrelsill import constants
from sorrelsill.fleet import BootingInstance, BootTimes, boot_failed, expected_instances
from sorrelsill.model import Catalog, MachineType

MACHINE_TYPE = MachineType("c8", 8.0, 0.0, 32.0, 50.0, 1.0, 1.0, 0.4, 30.0, ("a",))
CATALOG = Catalog({"c8": MACHINE_TYPE})


def pending(number: int, since: float) -> BootingInstance:
    return BootingInstance(f"m{number}", "c8", "a", False, since)


def seen(*seconds: float) -> BootTimes:
    boots = BootTimes()
    for boot_s in seconds:
        boots.record("c8", boot_s)
    return boots


def test_few_boots_observed_leave_the_published_time_in_force() -> None:
    boots = seen(200.0, 200.0)
    assert boots.late_after_s("c8", CATALOG) == constants.BOOT_LATE * 30.0 + constants.BOOT_EXTRA_S
    assert boots.failed_after_s("c8", CATALOG) == constants.BOOT_FAILED * 30.0 + constants.BOOT_EXTRA_S


def test_quick_boots_lower_the_time_limit_and_slow_ones_raise_it() -> None:
    quick, slow = seen(*[25.0] * 10), seen(*[30.0] * 10, 160.0)
    assert quick.failed_after_s("c8", CATALOG) == constants.BOOT_FAILED_OBSERVED * 30.0 + constants.BOOT_EXTRA_S
    assert slow.failed_after_s("c8", CATALOG) > 160.0
    assert seen(*[100.0] * 10).late_after_s("c8", CATALOG) > 100.0


def test_late_machines_are_replaced_but_not_all_at_once() -> None:
    """When all are late, what is rented in their place is late as well."""
    boots, now = seen(), 100.0
    one_late = [pending(0, 0.0), *[pending(n, 90.0) for n in range(1, 5)]]
    assert {p.name for p in expected_instances(one_late, boots, CATALOG, now)} == {"m1", "m2", "m3", "m4"}
    all_late = [pending(n, float(n)) for n in range(20)]
    assert len(expected_instances(all_late, boots, CATALOG, now)) == 10


def test_for_a_new_leader_only_what_the_list_calls_booting_has_failed() -> None:
    """It must not take every machine that has not reported to it yet for one that never came up."""
    boots, now = seen(), 1000.0
    machine = pending(0, 0.0)
    assert not boot_failed(machine, boots, CATALOG, now, 990.0)
    machine.booted_for = 200.0
    assert boot_failed(machine, boots, CATALOG, now, 990.0)

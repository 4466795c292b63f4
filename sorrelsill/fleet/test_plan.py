"""What to rent, what to move together: pure decisions."""

from sorrelsill.fleet import Catalog, Flavour
from sorrelsill.fleet.consolidate import machines_to_drain
from sorrelsill.fleet.rentals import Need, plan
from sorrelsill.jobs import ShardSet, parse_spec
from sorrelsill.standins import job
from sorrelsill.workers import Host, Ledger

KIND = Flavour("c8", 8.0, 0.0, 32.0, 50.0, 1.0, 1.0, 0.4, 30.0, ("a", "b"))
CATALOG = Catalog({"c8": KIND})


def need(count: int, **fields: object) -> Need:
    return Need(**{
        "count": count, "cpus": 2.0, "gpus": 0.0, "memory": 4.0, "flavours": None, "zone": None, "spot": True,
        "per_zone": None, **fields,
    })  # type: ignore[arg-type]  # fmt: skip


def test_where_only_time_counts_ordinary_machines_are_rented_first() -> None:
    """A task lost with a spot machine makes its whole job late."""
    for hurried in (True, False):
        wanted = plan([need(16)], [], CATALOG, {}, 0.0, {}, hurried)
        assert sum(wanted.values()) == 4 and {spot for _, _, spot in wanted} == {not hurried}
    refused = {("c8", zone, False): 9.0 for zone in "ab"}
    assert {spot for _, _, spot in plan([need(16)], [], CATALOG, refused, 0.0, {}, True)} == {True}


def fleet_of_services(machines: int, replicas: int) -> tuple[Ledger, list[Host]]:
    """Every machine holds the image and the same number of replicas of services of its own."""
    ledger = Ledger(1, 0.0, CATALOG, 11.5, 2.7)
    hosts = []
    for number in range(machines):
        host = ledger.host(f"m{number}", "c8", "ab"[number % 2], False, 0.0)
        host.synced = host.hears = host.rostered = True
        host.images["img"] = 0.5
        ledger.look(host)
        hosts.append(host)
        fields = {"shape": "standing", "shards": replicas, "rank": "prod", "vcpus": 1.0, "memoryGb": 1.0}
        spec = parse_spec(job(f"run-{number}", **fields))
        work = ledger.add_job(spec, ShardSet(spec.shards), 2, False, 0.0, [])
        for index in range(replicas):
            ledger.bind(work, index, host, 0.0).running_since = 0.0
    return ledger, hosts


def test_services_move_from_several_machines_at_once_and_all_find_a_place() -> None:
    ledger, hosts = fleet_of_services(40, 3)
    found = machines_to_drain(hosts, ledger.jobs, 100.0, lambda h: 1.0, None, ["a", "b"], 5)
    assert len(found) == 5
    room = sum(int(h.cap_cpus - h.cpus) for h in hosts if h not in found)
    assert room >= 15
    ledger, hosts = fleet_of_services(10, 8)
    assert not machines_to_drain(hosts, ledger.jobs, 100.0, lambda h: 1.0, None, ["a", "b"], 5)
    ledger, hosts = fleet_of_services(4, 6)  # two of them fit on the other two, not three
    assert len(machines_to_drain(hosts, ledger.jobs, 100.0, lambda h: 1.0, None, ["a", "b"], 4)) == 1


def test_room_for_one_more_service_stays_in_every_zone() -> None:
    ledger, hosts = fleet_of_services(6, 3)  # 15 CPUs are free in each zone
    spare = parse_spec(job("run-x", shape="standing", shards=28, vcpus=1.0, memoryGb=1.0, scatter=True))
    assert spare.zone_limit == 14
    assert not machines_to_drain(hosts, ledger.jobs, 100.0, lambda h: 1.0, spare, ["a", "b"], 6)
    assert machines_to_drain(hosts, ledger.jobs, 100.0, lambda h: 1.0, None, ["a", "b"], 6)


def test_images_outlive_a_workers_lease() -> None:
    """Seen on a measured day: tasks that came back to machines of a healed zone began at once."""
    from sorrelsill.workers import Report

    ledger = Ledger(7, 0.0, CATALOG, 11.5, 2.7)
    for serial, tenure in ((1, 1), (2, 1), (1, 2)):
        ledger.on_report(Report("m1", tenure, serial, "c8", "a", "10.0.0.9:9000", False, 7), float(serial))
        if serial == 2:
            ledger.hosts["m1"].images["img"] = 0.5
    assert ledger.hosts["m1"].tenure == 2 and "img" in ledger.hosts["m1"].images

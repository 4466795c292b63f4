"""Failure detection between three controllers that are slow, cut, paused, killed or of the former version.

Whatever it finds, leading still needs the leased key; the rules are checked in every scenario as always."""

from itertools import product

import msgspec
import orjson
import pytest
import trio

from sorrelsill.http import Request
from sorrelsill.membership import MembershipSettings
from sorrelsill.membership.messages import Incarnation, PeerHeartbeat, encode
from sorrelsill.membership.view import Status
from tests.simulation import SimulatedCluster, job, run_scenario, service
from tests.simulation.users import LABELS

SETTINGS = MembershipSettings()
LONGEST_DETECTION_S = 2.0 + SETTINGS.presence_lease_s + 2 * SETTINGS.probe_every_s + SETTINGS.confirm_s


def status_of(simulation: SimulatedCluster, observer: str, label: str) -> Status:
    membership = simulation.controllers[observer].membership
    assert membership is not None
    return membership.view.peers[label].status


def events(simulation: SimulatedCluster, label: str) -> dict[str, int]:
    return simulation.controllers[label].counts


def never_confirmed(simulation: SimulatedCluster) -> bool:
    return not any(events(simulation, label).get("membership_confirmed") for label in simulation.controllers)


async def until_all_alive(simulation: SimulatedCluster) -> None:
    pairs = [(a, b) for a, b in product(LABELS, LABELS) if a != b]
    await simulation.until(lambda: all(status_of(simulation, a, b) is Status.ALIVE for a, b in pairs), 30)
    await trio.sleep(10)  # heartbeats enough to know their spread


def test_a_dead_controller_is_suspected_and_then_confirmed_by_all_others() -> None:
    async def scenario(simulation: SimulatedCluster) -> None:
        await until_all_alive(simulation)
        simulation.kill("n2")
        died = trio.current_time()
        await simulation.until(lambda: all(status_of(simulation, o, "n2") is Status.SUSPECTED for o in ("n0", "n1")), 5)
        assert trio.current_time() - died < 4
        both = ("n0", "n1")
        await simulation.until(
            lambda: all(status_of(simulation, o, "n2") is Status.CONFIRMED for o in both), LONGEST_DETECTION_S
        )
        assert trio.current_time() - died > SETTINGS.presence_lease_s - SETTINGS.presence_lease_s / 4
        assert status_of(simulation, "n0", "n1") is status_of(simulation, "n1", "n0") is Status.ALIVE
        simulation.start("n2")
        await until_all_alive(simulation)

    run_scenario(scenario, membership=SETTINGS)


@pytest.mark.parametrize("times", [1, 2])
def test_a_controller_back_within_a_fraction_of_a_second_is_a_new_process_and_never_confirmed(times: int) -> None:
    async def scenario(simulation: SimulatedCluster) -> None:
        await until_all_alive(simulation)
        membership = simulation.controllers["n0"].membership
        assert membership is not None
        before = membership.view.peers["n2"].incarnation
        for _ in range(times):
            simulation.kill("n2")
            await trio.sleep(0.2)
            simulation.start("n2")
        await trio.sleep(2 * LONGEST_DETECTION_S)
        assert membership.view.peers["n2"].incarnation.process > before.process
        assert status_of(simulation, "n0", "n2") is status_of(simulation, "n1", "n2") is Status.ALIVE
        assert never_confirmed(simulation)

    run_scenario(scenario, membership=SETTINGS)


@pytest.mark.parametrize("slower", [3, 20])
def test_a_slow_controller_half_of_whose_packets_are_lost_is_never_confirmed(slower: int) -> None:
    async def scenario(simulation: SimulatedCluster) -> None:
        await until_all_alive(simulation)
        leader = await simulation.until_leader()
        slow = next(label for label in LABELS if label != leader)

        def involved(src: str, dst: str) -> bool:
            return slow in (src.partition(":")[0], dst.partition(":")[0]) and dst.endswith(":peer")

        simulation.net.latency *= slower
        simulation.net.drop_answers = lambda src, dst, request: involved(src, dst) and simulation.rng.random() < 0.5
        await trio.sleep(60)
        assert never_confirmed(simulation) and simulation.leader() == leader
        simulation.net.drop_answers = lambda src, dst, request: False
        await until_all_alive(simulation)

    run_scenario(scenario, membership=SETTINGS)


@pytest.mark.parametrize("pause_s", [2.0, SETTINGS.confirm_s, 25.0])
def test_a_paused_controller_suspects_nobody_and_is_alive_again_when_it_resumes(pause_s: float) -> None:
    async def scenario(simulation: SimulatedCluster) -> None:
        await until_all_alive(simulation)
        leader = await simulation.until_leader()
        sleeper = next(label for label in LABELS if label != leader)
        simulation.freeze(sleeper, pause_s)
        await trio.sleep(pause_s + 0.01)
        for _ in range(100):
            assert not events(simulation, sleeper).get("membership_suspected"), "it slept through the silence"
            await trio.sleep(0.05)
        others = [label for label in LABELS if label != sleeper]
        await simulation.until(lambda: all(status_of(simulation, o, sleeper) is Status.ALIVE for o in others), 5)
        confirmed = not never_confirmed(simulation)
        assert confirmed == (pause_s > LONGEST_DETECTION_S)

    run_scenario(scenario, membership=SETTINGS)


NINE_CUTS = [(a, b) for a in LABELS for b in LABELS if a != b] + [("all", label) for label in LABELS]


@pytest.mark.parametrize(("deaf", "unheard"), NINE_CUTS)
def test_a_controller_in_a_one_way_partition_is_alive_while_anybody_answers_for_it(deaf: str, unheard: str) -> None:
    """One way between two: it is heard through the third. All ways of one, but not the state service: its lease is
    kept, and it is suspected and never confirmed."""

    async def scenario(simulation: SimulatedCluster) -> None:
        await until_all_alive(simulation)
        for other in LABELS:
            if other != unheard and deaf in (other, "all"):
                # Heartbeats that it sends, and its answers, don't arrive there.
                simulation.net.cut(unheard, f"{other}:peer", both=False)
                simulation.net.cut(f"{unheard}:peer", other, both=False)
        await trio.sleep(3 * LONGEST_DETECTION_S)
        assert never_confirmed(simulation)
        if deaf != "all":
            membership = simulation.controllers[deaf].membership
            assert membership is not None
            await simulation.until(lambda: status_of(simulation, deaf, unheard) is Status.ALIVE, 5)
            assert "through" in membership.view.peers[unheard].evidence
        simulation.net.heal()
        await until_all_alive(simulation)

    run_scenario(scenario, membership=SETTINGS)


@pytest.mark.parametrize("refused", ["all", "one"])
def test_an_outage_of_the_state_service_confirms_nobody(refused: str) -> None:
    """Without a fresh watch cache a missing key proves nothing, and in an outage leases stand still."""

    async def scenario(simulation: SimulatedCluster) -> None:
        await until_all_alive(simulation)
        if refused == "all":
            simulation.store.begin_outage()
        else:
            simulation.store.refused.add("n0")
        await trio.sleep(1.0)
        simulation.kill("n2")
        await trio.sleep(2 * LONGEST_DETECTION_S)
        assert status_of(simulation, "n0", "n2") is Status.SUSPECTED
        assert not events(simulation, "n0").get("membership_confirmed")
        simulation.store.end_outage()
        simulation.store.refused.clear()
        await simulation.until(lambda: status_of(simulation, "n0", "n2") is Status.CONFIRMED, LONGEST_DETECTION_S)

    run_scenario(scenario, membership=SETTINGS)


def test_a_controller_that_begins_in_an_outage_confirms_nobody() -> None:
    """It has never read the keys, so that it knows of none proves nothing."""

    async def scenario(simulation: SimulatedCluster) -> None:
        await until_all_alive(simulation)
        simulation.store.begin_outage()
        simulation.kill("n0")
        simulation.start("n0")
        await simulation.until(lambda: status_of(simulation, "n0", "n2") is Status.ALIVE, 10)
        for label in LABELS:
            if label != "n2":
                simulation.net.cut("n2", f"{label}:peer")
                simulation.net.cut(label, "n2:peer")
                simulation.net.cut("n2:peer", label)
                simulation.net.cut(f"{label}:peer", "n2")
        await simulation.until(lambda: status_of(simulation, "n0", "n2") is Status.SUSPECTED, 10)
        await trio.sleep(2 * LONGEST_DETECTION_S)
        assert never_confirmed(simulation)

    run_scenario(scenario, membership=SETTINGS)


def test_late_copies_of_heartbeats_bring_nobody_back() -> None:
    async def scenario(simulation: SimulatedCluster) -> None:
        kept: list[tuple[str, str, Request]] = []

        def keep(src: str, dst: str, request: Request) -> None:
            if request.path.startswith("/membership/") and src == "n2":
                kept.append((src, dst, request))

        simulation.net.copy_request = keep
        await until_all_alive(simulation)
        simulation.kill("n2")
        both = ("n0", "n1")
        for _ in range(int(LONGEST_DETECTION_S)):
            for src, dst, request in kept[-20:]:
                await simulation.net.deliver_copy(src, dst, request)
            await trio.sleep(1.0)
        assert all(status_of(simulation, observer, "n2") is Status.CONFIRMED for observer in both)
        assert not any(events(simulation, observer).get("membership_cleared") for observer in both)

    run_scenario(scenario, membership=SETTINGS)


def test_a_controller_of_the_former_version_counts_as_living_and_the_work_goes_on() -> None:
    async def scenario(simulation: SimulatedCluster) -> None:
        simulation.kill("n2")
        simulation.start("n2", production_version=True)
        await simulation.submit(service("run-s", shards=3))
        await simulation.submit(job("run-a", shards=4))
        await simulation.until_phase("run-a", "done")
        for observer in ("n0", "n1"):
            assert status_of(simulation, observer, "n2") is Status.ALIVE
        await trio.sleep(2 * LONGEST_DETECTION_S)
        assert never_confirmed(simulation)
        assert len(simulation.running("run-s")) == 3
        membership = simulation.controllers["n0"].membership
        assert membership is not None and "version" in membership.view.peers["n2"].evidence

    run_scenario(scenario, membership=SETTINGS)


def test_a_controller_that_goes_back_to_the_former_version_is_not_suspected_for_ever() -> None:
    async def scenario(simulation: SimulatedCluster) -> None:
        await until_all_alive(simulation)
        simulation.kill("n2")
        await trio.sleep(0.5)
        simulation.start("n2", production_version=True)
        await trio.sleep(30)
        suspected = events(simulation, "n0").get("membership_suspected", 0)
        await trio.sleep(30)
        assert events(simulation, "n0").get("membership_suspected", 0) == suspected <= 1
        assert status_of(simulation, "n0", "n2") is Status.ALIVE and never_confirmed(simulation)

    run_scenario(scenario, membership=SETTINGS)


BAD_BODIES = [
    b"",
    b"\xff\x00",
    b"[]",
    b'{"sender": "n1"}',
    orjson.dumps({"cluster": "n0,n1,n2", "sender": "n1", "incarnation": [-1, 0], "sequence": 1}),
    orjson.dumps({"cluster": "n0,n1,n2", "sender": "n1", "incarnation": "x", "sequence": 1}),
    orjson.dumps({"cluster": "n0,n1,n2", "sender": "n9", "incarnation": [1, 0], "sequence": 1}),
    orjson.dumps({"cluster": "other", "sender": "n1", "incarnation": [1 << 40, 0], "sequence": 1}),
]


def test_malformed_foreign_and_older_messages_are_refused_counted_and_change_nothing() -> None:
    async def scenario(simulation: SimulatedCluster) -> None:
        await until_all_alive(simulation)
        node = simulation.controllers["n0"]
        membership = node.membership
        assert membership is not None
        for path in ("/membership/heartbeat", "/membership/probe"):
            for body in BAD_BODIES:
                reply = await node.handle_peer(Request("POST", path, "", body))
                assert reply.status == 400, (path, body)
        assert events(simulation, "n0")["membership_refused"] == 2 * len(BAD_BODIES)
        assert (await node.handle_peer(Request("GET", "/membership/heartbeat", "", b""))).status == 405
        assert (await node.handle_peer(Request("POST", "/membership/other", "", b""))).status == 404
        known = membership.view.peers["n1"]
        older = PeerHeartbeat("n0,n1,n2", "n1", Incarnation(known.incarnation.process - 1, 5), known.sequence + 99)
        reply = await node.handle_peer(Request("POST", "/membership/heartbeat", "", encode(older)))
        assert reply.status == 200 and membership.view.peers["n1"].incarnation == known.incarnation

    run_scenario(scenario, membership=SETTINGS)


def test_operators_see_each_controllers_status_and_its_evidence() -> None:
    async def scenario(simulation: SimulatedCluster) -> None:
        await until_all_alive(simulation)
        simulation.kill("n2")
        await simulation.until(lambda: status_of(simulation, "n0", "n2") is Status.CONFIRMED, LONGEST_DETECTION_S + 5)
        reply = await simulation.controllers["n0"].handle(Request("GET", "/state", "", b""))
        peers = msgspec.msgpack.decode(reply.body)["peers"]
        assert peers["n1"]["status"] == "alive" and peers["n2"]["status"] == "confirmed"
        assert "lease" in peers["n2"]["evidence"] and peers["n2"]["for_s"] >= 0
        metrics = (await simulation.controllers["n0"].handle(Request("GET", "/metrics", "", b""))).body.decode()
        assert 'sorrelsill_peer{peer="n2",status="confirmed"} 1.0' in metrics

    run_scenario(scenario, membership=SETTINGS)

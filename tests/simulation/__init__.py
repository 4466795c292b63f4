"""A simulated cluster: network, key-value store, cloud, workers and users that follow the protocol, in memory and on a
virtual clock. It checks the protocol's rules while a scenario runs."""

from tests.simulation.cloud import FakeCloud, machine_name
from tests.simulation.counting import count_calls
from tests.simulation.leader_in_memory import LOSS_S, OVERDUE_S, VALIDITY_S, LeaderInMemory, array_job
from tests.simulation.network import FakeNet
from tests.simulation.simulated_cluster import SimulatedCluster, run_scenario
from tests.simulation.store import FakeStore
from tests.simulation.users import job, service
from tests.simulation.worker import FakeWorker

__all__ = [
    "FakeCloud",
    "FakeNet",
    "FakeStore",
    "FakeWorker",
    "LOSS_S",
    "LeaderInMemory",
    "OVERDUE_S",
    "SimulatedCluster",
    "VALIDITY_S",
    "array_job",
    "count_calls",
    "job",
    "machine_name",
    "service",
    "run_scenario",
]

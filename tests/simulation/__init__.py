"""Stand-ins for everything around the controllers, after the protocol page: network, state service, cloud,
workers, users. In memory, on trio's clock; made for the tests' stories, and they check the rules as they go."""

from tests.simulation.cloud import FakeCloud, machine_name
from tests.simulation.counting import count_calls
from tests.simulation.network import FakeNet
from tests.simulation.store import FakeStore
from tests.simulation.worker import FakeWorker
from tests.simulation.world import World, job, story

__all__ = ["FakeCloud", "FakeNet", "FakeStore", "FakeWorker", "World", "count_calls", "job", "machine_name", "story"]

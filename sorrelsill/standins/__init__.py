"""Stand-ins for everything around the controllers, after the protocol page: network, state service, cloud,
workers, users. In memory, on trio's clock; made for the tests' stories, and they check the rules as they go."""

from sorrelsill.standins.cloud import FakeCloud, machine_name
from sorrelsill.standins.counting import count_calls
from sorrelsill.standins.network import FakeNet
from sorrelsill.standins.store import FakeStore
from sorrelsill.standins.worker import FakeWorker
from sorrelsill.standins.world import World, job, story

__all__ = ["FakeCloud", "FakeNet", "FakeStore", "FakeWorker", "World", "count_calls", "job", "machine_name", "story"]

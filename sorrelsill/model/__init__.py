"""Data types shared by all packages. This package depends on no other package of the service."""

from sorrelsill.model.job_phase import JobPhase
from sorrelsill.model.job_spec import JobKind, JobSpec, Priority
from sorrelsill.model.machine_type import Catalog, MachineType
from sorrelsill.model.registry_entry import RegistryEntry
from sorrelsill.model.resources import NO_RESOURCES, Resources, resources_of
from sorrelsill.model.task_set import TaskSet

__all__ = [
    "NO_RESOURCES",
    "Catalog",
    "JobKind",
    "JobPhase",
    "JobSpec",
    "MachineType",
    "Priority",
    "RegistryEntry",
    "Resources",
    "TaskSet",
    "resources_of",
]

"""Guards against loading the libraries of failure detection while it is disabled, because controllers have little CPU
time to start."""

import subprocess
import sys

OPTIONAL_LIBRARIES = ("opentelemetry", "immutables", "prometheus_client", "hcl2")


def test_controller_without_failure_detection_loads_none_of_its_libraries() -> None:
    code = "import sys, sorrelsill.serve; print(','.join(sorted(sys.modules)))"
    run = subprocess.run([sys.executable, "-c", code], capture_output=True, text=True, check=True)
    loaded = set(run.stdout.strip().split(","))
    assert "sorrelsill.controller" in loaded and not loaded.intersection(OPTIONAL_LIBRARIES)

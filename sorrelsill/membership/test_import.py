"""A controller with the feature off loads none of what the feature needs: start-up time is charged."""

import subprocess
import sys

HEAVY = ("opentelemetry", "immutables", "prometheus_client", "hcl2")


def test_a_controller_without_the_feature_loads_none_of_its_libraries() -> None:
    code = "import sys, sorrelsill.serve; print(','.join(sorted(sys.modules)))"
    run = subprocess.run([sys.executable, "-c", code], capture_output=True, text=True, check=True)
    loaded = set(run.stdout.strip().split(","))
    assert "sorrelsill.controller" in loaded and not loaded.intersection(HEAVY)

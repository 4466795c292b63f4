"""Loading settings: unknown fields are ignored; an invalid file raises a one-line error with file, field and reason."""

from pathlib import Path

import pytest
from click.testing import CliRunner

from sorrelsill.cli import main
from sorrelsill.settings import SettingsError, Timings, load, load_operator

GOOD = """
label = "n0"
listen = "10.0.0.1:8080"
peer_listen = "10.0.0.1:8081"
brand_new = { field = 1 }
[[members]]
label = "n1"
addr = "10.0.0.2:8081"
[services]
cloud = "10.2.0.2:8443"
state = "10.2.0.1:2379"
[facts]
nodes = 2
[facts.workers]
report_s = 1.0
lease_s = 11.0
cancel_s = 31.0
[facts.state]
rps = 80.0
write_rps = 25.0
value_kb = 32.0
txn_ops = 16
[facts.cloud]
rps = 1.5
[[facts.objectives]]
kind = "wait"
class = "live"
within_s = 1.0
"""


def _file(tmp_path: Path, text: str, name: str = "s.toml") -> str:
    path = tmp_path / name
    path.write_text(text)
    return str(path)


def test_valid_file_gives_timings_within_worker_lease(tmp_path: Path) -> None:
    settings = load(_file(tmp_path, GOOD))
    assert settings.platform.objectives[0].job_class == "live"
    timings = Timings.derive(settings.platform.workers, load_operator(None))
    assert timings.renewal_interval_s < timings.validity_s < timings.lease_s < settings.platform.workers.lease_s / 2
    assert timings.loss_s > settings.platform.workers.lease_s


@pytest.mark.parametrize(
    ("old", "new", "field"),
    [
        ('listen = "10.0.0.1:8080"', 'listen = "localhost:80"', "listen"),
        ("lease_s = 11.0", "lease_s = -1.0", "facts.workers.lease_s"),
        ("lease_s = 11.0", 'lease_s = "long"', "facts.workers.lease_s"),
        ("lease_s = 11.0", "lease_s = inf", "facts.workers.lease_s"),
        ('label = "n1"', 'label = "n0"', "members"),
        ("txn_ops = 16", "", "facts.state"),
        ('state = "10.2.0.1:2379"', 'state = "10.2.0.1:99999"', "services.state"),
        ("[facts.cloud]", "[facts.cloud", "syntax"),
    ],
)
def test_invalid_file_gives_one_line_error_and_exit_code_2(tmp_path: Path, old: str, new: str, field: str) -> None:
    path = _file(tmp_path, GOOD.replace(old, new, 1))
    with pytest.raises(SettingsError) as caught:
        load(path)
    assert str(caught.value).startswith(f"{path}: {field}") and "\n" not in str(caught.value)
    result = CliRunner().invoke(main, ["check", "--config", path])
    assert result.exit_code == 2


def test_operator_settings_are_loaded_from_hcl(tmp_path: Path) -> None:
    good = load_operator(_file(tmp_path, "lease_s = 5.0\nsample = 8\nunknown = true\n", "own.hcl"))
    assert (good.lease_s, good.sample) == (5.0, 8)
    for text, field in (("lease_s = -1.0", "lease_s"), ('sample = "many"', "sample"), ("lease_s = {", "syntax")):
        path = _file(tmp_path, text, "bad.hcl")
        with pytest.raises(SettingsError, match=f"bad.hcl: {field}") as caught:
            load_operator(path)
        assert "\n" not in str(caught.value)
    settings = _file(tmp_path, GOOD)
    result = CliRunner().invoke(main, ["check", "--config", settings, "--operator", path])
    assert result.exit_code == 2
    result = CliRunner().invoke(main, ["check", "--config", settings])
    assert result.exit_code == 0 and '"lease_s"' in result.output


def test_deadline_takes_precedence_over_finished_objective(tmp_path: Path) -> None:
    """Guards against keeping every idle machine: with a deadline, a limit in seconds is only an outer bound and must
    not switch to optimising for latency."""

    def optimise_latency(*objectives: str) -> bool:
        path = tmp_path / "s.toml"
        path.write_text(GOOD + "".join(f"[[facts.objectives]]\n{each}\n" for each in objectives))
        return load(str(path)).optimise_latency

    deadline = 'kind = "deadline"\nclass = "array"\ntimes = 1.0'
    finished = 'kind = "finished"\nclass = "array"\nwithin_s = 250.0'
    assert not optimise_latency(deadline) and not optimise_latency(deadline, finished)
    assert optimise_latency(finished) and optimise_latency(deadline, finished, 'kind = "guarantee"\nwithin_s = 10.0')


def test_future_store_limits_are_loaded_and_checked(tmp_path: Path) -> None:
    path = tmp_path / "s.toml"
    path.write_text(GOOD)
    state = load(str(path)).platform.state
    assert state.next is None and state.after_reductions.txn_ops == state.txn_ops
    path.write_text(GOOD + "[facts.state.next]\nvalue_kb = 0.5\ntxn_ops = 5\nnew_field = 1\n")
    after_reductions = load(str(path)).platform.state.after_reductions
    assert (after_reductions.value_kb, after_reductions.txn_ops, after_reductions.write_rps) == (
        0.5,
        5,
        state.write_rps,
    )
    for bad in ("txn_ops = 1", "value_kb = -1.0", 'write_rps = "many"'):
        path.write_text(GOOD + f"[facts.state.next]\n{bad}\n")
        with pytest.raises(SettingsError, match=bad.split()[0]):
            load(str(path))

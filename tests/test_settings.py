import pathlib

import pytest

from bilberryroute import embedded
from bilberryroute import errors
from bilberryroute import settings
from bilberryroute import settings_check
from bilberryroute import settings_rules

ROOT = pathlib.Path(__file__).parent.parent
SAMPLES = sorted(ROOT.glob("extras/settings/*/*.toml"))

REPLICA = """\
host = "r1"
failure_domain = "apapa"
roles = ["replica"]
replica_id = "r1"
data_folder = "{folder}"
[listen]
http = "127.0.0.1:7170"
grpc = "127.0.0.1:7171"
datagram = "127.0.0.1:7172"
[[replicas]]
id = "r1"
grpc = "127.0.0.1:7171"
datagram = "127.0.0.1:7172"
"""


@pytest.fixture
def check(tmp_path):
    """Returns a function from changed settings to the problems found."""

    def check_changed(old: str = "", new: str = "", extra: str = ""):
        text = REPLICA.format(folder=tmp_path / "data")
        assert old in text
        path = tmp_path / "replica.toml"
        path.write_text(text.replace(old, new, 1) + extra)
        return settings_check.check(str(path))[1]

    return check_changed


def test_usable_settings_are_loaded(check, tmp_path):
    assert check() == []
    cfg = settings_check.load(str(tmp_path / "replica.toml"))
    assert cfg.roles == (settings.ProcessRole.REPLICA,)
    assert not (tmp_path / "data").exists()


@pytest.mark.parametrize(
    ("old", "new", "key", "message"),
    [
        ('host = "r1"', "host = 1", "host", "Expected `str`"),
        ('host = "r1"\n', "", "host", "missing"),
        ('host = "r1"', 'host = "a b"', "host", "not a name"),
        ('host = "r1"', 'host = "r1"\ncolor = 1', "color", "unknown key"),
        ('["replica"]', '["king"]', "roles[0]", "Invalid enum"),
        ('["replica"]', '"replica"', "roles", "Expected `array`"),
        ('["replica"]', "[]", "roles", "needs a role"),
        ('["replica"]', '["replica", "replica"]', "roles", "twice"),
        ('replica_id = "r1"\n', "", "replica_id", "needs its id"),
        ('replica_id = "r1"', 'replica_id = "r4"', "replica_id", "not among"),
        ("127.0.0.1:7170", "localhost:7170", "listen.http", "no address"),
        ("127.0.0.1:7170", "127.0.0.1", "listen.http", "no address"),
        ("127.0.0.1:7170", "127.0.0.1:70000", "listen.http", "no address"),
        ("127.0.0.1:7170", "127.0.0.1:7171", "listen.grpc", "duplicate"),
        ("127.0.0.1:7171", "127.0.0.1:7179", "listen.grpc", "listed at"),
        ('grpc = "127.0.0.1:7171"\n', "", "listen.grpc", "needs this"),
        ('id = "r1"\ngrpc', "grpc", "replicas[0].id", "missing"),
        ("data_folder", "log_level = 'LOUD'\ndata_folder", "log_level", "no"),
        ("data_folder", "#", "data_folder", "needs a data folder"),
    ],
)
def test_each_problem_names_its_key(check, old, new, key, message):
    found = {problem.key: problem for problem in check(old, new)}
    assert key in found, found
    assert message in found[key].message
    assert found[key].remedy


@pytest.mark.parametrize(
    ("line", "key", "message"),
    [
        ("agent_lease_ms = 2900", "agent_lease_ms", "after its failure domain"),
        ("worker_lease_ms = 5000", "worker_lease_ms", "after its failure"),
        ("election_ms = 500", "leader_lease_ms", "less than election_ms"),
        ("renewal_ms = 1100", "renewal_ms", "2 times renewal_ms"),
        ("raft_heartbeat_ms = 0", "raft_heartbeat_ms", "absurd"),
        ("decide_ms = -1", "decide_ms", "absurd"),
        ("balancer_lag_ms = 99999999999", "balancer_lag_ms", "absurd"),
        ("probe_ms = 1500", "probe_ms", "less than probe_timeout_ms"),
        ("probe_ms = 'often'", "probe_ms", "Expected `int`"),
        ("probe_ms = 1e3", "probe_ms", "Expected `int`"),
        ("probe = 1", "probe", "unknown key"),
    ],
)
def test_intervals(check, line, key, message):
    found = {p.key: p for p in check(extra=f"[timing]\n{line}\n")}
    assert message in found[f"timing.{key}"].message


@pytest.mark.parametrize(
    ("extra", "key"),
    [
        ("[limits]\nbody_bytes = 0", "limits.body_bytes"),
        ("[limits]\nheader_bytes = 10", "limits.header_bytes"),
        ("[log]\nsegment_bytes = 1", "log.segment_bytes"),
        ("[log]\nsnapshot_entries = 1", "log.snapshot_entries"),
        ("[tokens]\noperators = '/none'", "tokens"),
    ],
)
def test_bounds_and_tokens(check, extra, key):
    assert [p.key for p in check(extra=extra)] == [key]


def test_duplicate_replicas_are_reported(check):
    again = '[[replicas]]\nid = "r1"\ngrpc = "127.0.0.1:7171"\n'
    problems = check(extra=again + 'datagram = "127.0.0.1:7179"\n')
    assert {p.key for p in problems} >= {"replicas[1].id", "replicas[1].grpc"}


def test_unwritable_data_folder_is_reported(check, tmp_path):
    (tmp_path / "data").write_text("a file")
    (problem,) = check()
    assert problem.key == "data_folder"
    assert "is no folder" in problem.message


def test_entry_without_tokens_serves_loopback_only():
    cfg = embedded.embedded_settings()
    open_cfg = settings.Settings(
        host="e1",
        failure_domain="apapa",
        roles=(settings.ProcessRole.ENTRY,),
        listen=settings.Listen(http="10.0.0.1:7070"),
        replicas=cfg.replicas,
    )
    (finding,) = settings_rules.check(open_cfg)
    assert finding.key == "listen.http"


def test_all_problems_are_reported_at_once(check, tmp_path):
    check('host = "r1"', "host = 1\ncolor = 2", "[timing]\nprobe_ms = 'x'\n")
    path = str(tmp_path / "replica.toml")
    with pytest.raises(errors.SettingsError) as caught:
        settings_check.load(path)
    lines = caught.value.message.splitlines()
    assert lines[0] == "3 problems in the settings:"
    assert all(f"  {path}: " in line for line in lines[1:])
    assert f"  {path}: host: Expected `str`, got `int`, seen 1;" in str(
        caught.value
    )


@pytest.mark.parametrize("content", [b"a =", b"\xff", None])
def test_unreadable_file_is_reported(tmp_path, content):
    path = tmp_path / "broken.toml"
    if content is not None:
        path.write_bytes(content)
    cfg, (problem,) = settings_check.check(str(path))
    assert cfg is None
    assert problem.key == ""


def test_files_of_one_deployment_are_checked_together(check, tmp_path):
    check()
    first = tmp_path / "replica.toml"
    second = tmp_path / "second.toml"
    second.write_text(first.read_text())
    with pytest.raises(errors.SettingsError) as caught:
        settings_check.load_all([str(first), str(second)])
    text = str(caught.value)
    assert f"{second}: host: also the host of {first}" in text
    assert f"{second}: listen.grpc: duplicate address" in text


def test_embedded_settings_keep_all_rules(tmp_path):
    cfg = embedded.embedded_settings(str(tmp_path))
    assert list(settings_rules.check(cfg)) == []


def test_samples_are_usable_deployments(tmp_path):
    (tmp_path / "operators.tokens").write_text("operator-token-0123\n")
    (tmp_path / "callers.tokens").write_text("rosters caller-token-0123\n")
    folders = {path.parent for path in SAMPLES}
    assert {folder.name for folder in folders} == {"trust", "exchange"}
    for folder in folders:
        loaded = {}
        for path in sorted(folder.glob("*.toml")):
            text = path.read_text().replace("/var/lib", str(tmp_path))
            text = text.replace("/etc/bilberryroute", str(tmp_path))
            copy = tmp_path / path.name
            copy.write_text(text)
            cfg, problems = settings_check.check(str(copy))
            assert problems == [], str(path)
            loaded[path.name] = cfg
        assert settings_check.check_together(loaded) == []
        roles = [role for cfg in loaded.values() for role in cfg.roles]
        assert roles.count(settings.ProcessRole.REPLICA) == 3
        assert roles.count(settings.ProcessRole.ENTRY) == 2
        assert roles.count(settings.ProcessRole.AGENT) >= 3

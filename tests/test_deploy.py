"""What the users' platform builds from is complete and current."""

import tomllib

from bilberryroute import settings
from bilberryroute.platform import settings as platform_settings
from extras import deploy_lock

DEPLOY = tomllib.loads(
    (deploy_lock.ROOT / "deploy" / "system.toml").read_text()
)


def test_runtime_lock_is_current():
    assert deploy_lock.TARGET.read_text() == deploy_lock.render()


def test_every_role_is_deployed_and_shows_its_metrics():
    assert set(DEPLOY["roles"]) == set(settings.ProcessRole)
    for role, entry in DEPLOY["roles"].items():
        assert entry["run"].endswith(f"--platform {role}")
        port = platform_settings.METRICS_PORTS[settings.ProcessRole(role)]
        assert entry["metrics"] == f"{port}/metrics"

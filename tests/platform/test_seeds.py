"""The seeds in the platform's settings file may change at any time."""

import pathlib

import pytest

from bilberryroute import settings
from bilberryroute.platform import seeds
from bilberryroute.platform import settings as platform_settings
from tests.platform import test_forms

NEW_SEEDS = 'seedNodes = ["10.9.0.1:8526","10.9.0.2:8526"]'
OWN = "10.1.0.19:7001"


@pytest.fixture
def path(tmp_path):
    path = tmp_path / "node.toml"
    path.write_text(test_forms.SETTINGS)
    return path


@pytest.fixture
def changes():
    return []


@pytest.fixture
def watcher(path, changes):
    place = platform_settings.load(str(path), settings.ProcessRole.REPLICA)
    return seeds.SeedWatcher(place, changes.append)


def _replace_seeds(path: pathlib.Path) -> None:
    lines = path.read_text().splitlines()
    index = next(i for i, x in enumerate(lines) if x.startswith("seedNodes"))
    lines[index] = NEW_SEEDS
    path.write_text("\n".join(lines))


def test_new_seeds_are_passed_on_once(path, watcher, changes):
    watcher.check()
    assert changes == []
    _replace_seeds(path)
    watcher.check()
    watcher.check()
    assert changes == [frozenset({"10.9.0.1:7001", "10.9.0.2:7001", OWN})]


def test_unreadable_file_changes_nothing(path, watcher, changes):
    path.write_text("seedNodes = [")
    watcher.check()
    path.unlink()
    watcher.check()
    assert changes == []

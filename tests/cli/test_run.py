"""Start, drain and stop of a daemon, around a process without roles."""

import asyncio
import os
import signal

import mode
import pytest

from bilberryroute import core
from bilberryroute import embedded
from bilberryroute import errors
from bilberryroute import logs
from bilberryroute import process
from bilberryroute import status
from bilberryroute.cli import run
from bilberryroute.cli import serving
from tests.utils import environment

CFG = embedded.embedded_settings()


class Child(mode.Service):
    """Service that fails when told to."""

    def __init__(self, fault=None):
        super().__init__()
        self.fault = fault
        self.fail_now = asyncio.Event()

    @mode.Service.task
    async def _work(self):
        await self.fail_now.wait()
        raise self.fault


class FakeProcess(mode.Service):
    """Process without roles that notes what is asked of it."""

    def __init__(self, child, start_fault=None):
        super().__init__()
        self.child = child
        self.start_fault = start_fault
        self.events = []
        self.running = asyncio.Event()
        self.finish = asyncio.Event()

    def position(self):
        return logs.Position()

    async def on_start(self):
        await self.add_runtime_dependency(self.child)
        if self.start_fault is not None:
            raise self.start_fault

    async def on_started(self):
        self.running.set()

    async def on_stop(self):
        self.events.append("stopped")

    async def drain(self):
        self.events.append("draining")
        await self.finish.wait()
        self.events.append("drained")


@pytest.fixture
def serve(monkeypatch):
    """Returns a function that starts a daemon around a fake process."""

    def start(**kwargs):
        fault = kwargs.pop("fault", None)
        fake = FakeProcess(Child(fault), **kwargs)
        monkeypatch.setattr(process, "build", lambda cfg, env, place: fake)
        env = environment.fake_environment()
        return fake, asyncio.create_task(serving._serve(CFG, env, None))

    yield start
    logs.set_position_source(logs.Position)


async def until(fake, event):
    while event not in fake.events:
        await asyncio.sleep(0.005)


async def test_sigterm_drains_before_it_stops(serve):
    fake, daemon = serve()
    await fake.running.wait()
    os.kill(os.getpid(), signal.SIGTERM)
    await until(fake, "draining")
    assert not daemon.done()
    fake.finish.set()
    assert await daemon == status.ExitStatus.SUCCESS
    assert fake.events == ["draining", "drained", "stopped"]


async def test_second_signal_ends_the_wait(serve):
    fake, daemon = serve()
    await fake.running.wait()
    os.kill(os.getpid(), signal.SIGTERM)
    await until(fake, "draining")
    os.kill(os.getpid(), signal.SIGINT)
    assert await daemon == status.ExitStatus.SUCCESS
    assert fake.events == ["draining", "stopped"]


async def test_crash_of_a_service_ends_the_process(serve):
    fake, daemon = serve(fault=RuntimeError("out of luck"))
    await fake.running.wait()
    fake.child.fail_now.set()
    with pytest.raises(errors.BilberryrouteError, match="out of luck"):
        await daemon
    assert "draining" not in fake.events


async def test_typed_crash_keeps_its_kind(serve):
    fake, daemon = serve(fault=errors.LogDamaged("record 7"))
    await fake.running.wait()
    fake.child.fail_now.set()
    with pytest.raises(errors.LogDamaged):
        await daemon


async def test_address_in_use_names_the_remedy(serve):
    _, daemon = serve(start_fault=OSError(98, "Address already in use"))
    with pytest.raises(errors.SettingsError, match="already in use"):
        await daemon


def test_unusable_settings_start_nothing(monkeypatch, tmp_path):
    monkeypatch.setattr(process, "build", None)
    path = tmp_path / "bad.toml"
    path.write_text('host = "r1"\n')
    env = environment.fake_environment()
    ended = core.main(["run", "--settings", str(path)], env)
    assert ended == status.ExitStatus.SETTINGS
    assert "roles: missing" in env.stderr.getvalue()


def test_without_settings_the_system_is_embedded(monkeypatch, tmp_path):
    monkeypatch.chdir(tmp_path)
    assert run._load(run.Daemon()) == embedded.embedded_settings()
    (tmp_path / embedded.DATA_FOLDER).write_text("a file")
    with pytest.raises(errors.SettingsError, match="is no folder"):
        run._load(run.Daemon())

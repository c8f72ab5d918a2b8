import pytest

from bilberryroute import clock as clock_lib
from bilberryroute import errors
from bilberryroute import settings
from bilberryroute.agent import board as board_lib
from bilberryroute.agent import workers as workers_lib
from tests.utils import environment

INTERVAL_MS = 220


def announcement(**changes: object) -> workers_lib.WorkerAnnouncement:
    fields: dict[str, object] = {
        "name": "w1",
        "incarnation": "i1",
        "address": "127.0.0.1:9",
        "rack": "k1",
        "failure_domain": "apapa",
        "accelerators": 8,
        "cores": 30,
        "memory_mb": 65_536,
        "clock_ms": 500,
    }
    return workers_lib.WorkerAnnouncement(**(fields | changes))


@pytest.fixture
def clock() -> clock_lib.ManualClock:
    return clock_lib.ManualClock()


@pytest.fixture
def service(clock) -> workers_lib.WorkerService:
    cfg = settings.Settings(
        host="a1", failure_domain="apapa", roles=(settings.ProcessRole.AGENT,)
    )
    env = environment.fake_environment(clock=clock)
    return workers_lib.WorkerService(cfg, env, board_lib.new_board())


def sweep_through(service, clock, duration: int) -> None:
    for _ in range(0, duration, INTERVAL_MS):
        clock.advance(INTERVAL_MS)
        service.sweep(INTERVAL_MS)


def test_silent_worker_is_dropped(service, clock):
    service.announce(announcement())
    assert list(service.board.workers.get()) == ["w1"]
    sweep_through(service, clock, 1_980)
    assert list(service.board.workers.get()) == ["w1"]
    sweep_through(service, clock, 220)
    assert not service.board.workers.get()
    assert not service.contacts


def test_pause_of_the_process_drops_no_workers(service, clock):
    service.announce(announcement())
    service.sweep(INTERVAL_MS)
    clock.advance(60_000)
    service.sweep(INTERVAL_MS)
    assert list(service.board.workers.get()) == ["w1"]
    sweep_through(service, clock, 2_200)
    assert not service.board.workers.get()


def test_unchanged_announcement_writes_nothing(service):
    service.announce(announcement())
    version = service.board.workers.version
    service.announce(announcement(clock_ms=1_500))
    assert service.board.workers.version == version
    service.announce(announcement(incarnation="i2"))
    assert service.board.workers.version == version + 1


def test_deadline_on_the_worker_clock_is_never_later(service, clock):
    clock.advance(10_000)
    service.announce(announcement(clock_ms=500))
    contact = service.contacts["w1"]
    assert contact.to_worker_clock(clock.now() + 300) == 800
    clock.advance(200)
    assert contact.to_worker_clock(clock.now() + 300) == 1_000


@pytest.mark.parametrize(
    "changes",
    [{"accelerators": 0}, {"cores": -1}, {"memory_mb": 0}, {"name": ""}],
)
def test_invalid_sizes_and_names_are_refused(service, changes):
    with pytest.raises(errors.MalformedInput):
        service.announce(announcement(**changes))
    assert not service.board.workers.get()

from bilberryroute.model import config
from bilberryroute.scheduling import events
from tests.scheduling import session as sessions

WORKERS = (sessions.worker("w1"), sessions.worker("w2"))


def configure(session, **kwargs):
    """Applies a configuration."""
    cfg = sessions.configuration(**kwargs)
    session.observe(events.ConfigurationChanged(configuration=cfg))


def test_workers_present_before_the_first_ticket_are_available_at_once():
    session = sessions.Session(cfg=config.Configuration(), workers=WORKERS)
    configure(session)
    session.submit("gang", 16)
    session.decide()
    assert session.workers_of("gang") == {"w1": 8, "w2": 8}


def test_gang_is_placed_once_all_returned_workers_are_available():
    session = sessions.Session(workers=WORKERS)
    configure(session, out=("apapa",))
    session.decide()
    configure(session)
    session.submit("gang", 16)
    for _ in range(20):
        session.decide(1_000)
    assert session.workers_of("gang") == {"w1": 8, "w2": 8}

from bilberryroute import embedded
from bilberryroute import metrics as metrics_lib
from bilberryroute import process
from tests.utils import environment


def test_reasons_are_rendered():
    metrics = metrics_lib.Metrics()
    metrics.refused("overloaded")
    metrics.refused("overloaded")
    metrics.retried("timeout")
    text = metrics.render()[0].decode()
    assert 'bilberryroute_refusals_total{reason="overloaded"} 2' in text
    assert 'bilberryroute_retries_total{reason="timeout"} 1' in text


def test_refreshers_run_before_each_rendering():
    metrics = metrics_lib.Metrics()
    metrics.refresh_with(lambda m: m.term.set({}, 7))
    assert "bilberryroute_term 7" in metrics.render()[0].decode()


def test_processes_share_nothing():
    first, second = metrics_lib.Metrics(), metrics_lib.Metrics()
    first.refused("draining")
    assert 'draining"' not in second.render()[0].decode()


async def test_all_roles_fill_their_gauges(tmp_path):
    cfg = embedded.embedded_settings(str(tmp_path))
    built = process.build(cfg, environment.fake_environment())
    text = built.metrics.render()[0].decode()
    for name in (
        'in_flight{service="all"} 0',
        'queue_length{queue="jobs"} 0',
        'lease_left_ms{lease="agent"} 0',
        'log_index{point="applied"} 0',
        "leading 0",
        "term 0",
        "revision 0",
        "draining 0",
    ):
        assert f"bilberryroute_{name}\n" in text

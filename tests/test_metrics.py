from bilberryroute import metrics as metrics_lib


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

import asyncio
import io
import json
import logging
import queue

import pytest
from aiohttp import web

from bilberryroute import api
from bilberryroute import logs
from bilberryroute import metrics as metrics_lib
from bilberryroute import settings


@pytest.fixture
def lines():
    root = logging.getLogger()
    handlers, level = root.handlers[:], root.level
    stream = io.StringIO()
    logs.configure(
        stream=stream,
        level="INFO",
        role="entry+agent",
        host="e1",
        failure_domain="apapa",
    )
    yield lambda: [json.loads(x) for x in stream.getvalue().splitlines()]
    root.handlers[:] = handlers
    root.setLevel(level)
    logs.set_position_source(logs.Position)


def test_line_carries_process_and_context(lines):
    log = logging.getLogger("bilberryroute.test")
    logs.set_position_source(lambda: logs.Position(term=3, revision=17))
    with logs.fields(request_id="r1", account="trust"):
        log.info("accepted", extra={"job_id": "j1"})
    log.debug("not written")
    log.warning("second")
    first, second = lines()
    assert first.pop("time")
    assert first == {
        "level": "INFO",
        "logger": "bilberryroute.test",
        "message": "accepted",
        "role": "entry+agent",
        "host": "e1",
        "failure_domain": "apapa",
        "term": 3,
        "revision": 17,
        "request_id": "r1",
        "account": "trust",
        "job_id": "j1",
    }
    assert "request_id" not in second


def test_traceback_stays_on_one_line(lines):
    try:
        raise ValueError("x")
    except ValueError:
        logging.getLogger("bilberryroute.test").exception("failed")
    (line,) = lines()
    assert "ValueError: x" in line["traceback"]


async def test_malformed_request_leaves_no_token_in_the_logs(lines):
    app = api.new_application(settings.Limits(), metrics_lib.Metrics())
    runner = api.new_runner(app, settings.Limits())
    await runner.setup()
    await web.TCPSite(runner, "127.0.0.1", 0).start()
    reader, writer = await asyncio.open_connection(*runner.addresses[0])
    writer.write(b"GET / HTTP/1.1\r\nAuthorization: Bearer secret\x00\r\n\r\n")
    assert b"400" in await reader.readline()
    writer.close()
    await runner.cleanup()
    assert "secret" not in json.dumps(lines())


def test_lines_of_one_message_are_bounded_and_counted(lines, monkeypatch):
    now = [10.0]
    root = logging.getLogger()
    root.handlers[0].filters[0]._clock = lambda: now[0]
    log = logging.getLogger("bilberryroute.test")
    for number in range(logs.LINES_PER_SECOND + 7):
        log.info("placed %d", number)
    log.info("started")
    now[0] = 11.0
    log.info("placed again %d", 1)
    log.info("placed %d", 99)
    written = lines()
    assert len(written) == logs.LINES_PER_SECOND + 3
    assert written[-1]["left_out"] == 7


def test_full_queue_drops_lines_and_never_blocks():
    waiting = queue.Queue(2)
    handler = logs.BoundedQueueHandler(waiting)
    for _ in range(5):
        handler.emit(logging.makeLogRecord({"msg": "x"}))
    assert (waiting.qsize(), handler.dropped) == (2, 3)

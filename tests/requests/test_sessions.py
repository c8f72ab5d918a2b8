from bilberryroute.model import config
from tests.requests import fakes
from tests.requests import sessions


async def announce(recorder, number: int, **fields: object) -> None:
    stack = recorder.stack
    agent = stack.agents[number]
    body = {
        "name": f"e{number}",
        "service": fakes.SERVICE,
        "address": stack.endpoints[number].server.address,
    } | fields
    url = f"http://{agent.server.address}/v1/endpoints"
    async with stack.session.post(url, json=body) as resp:
        recorder.record(
            "announce",
            endpoint=body["name"],
            **fields,
            status=resp.status,
            answer=await resp.json(),
        )
    stack.publish_endpoints()


async def test_session_of_announce_requests_kill_resend_drain(make_stack):
    """Covers announcement, resends, agent restart, endpoint leaving and drain."""
    stack = await make_stack(1, balancer_lag_ms=0, renewal_ms=1)
    for entry in stack.entries:
        entry.configure(config.Service(name=fakes.SERVICE, queue_ms=50))
    recorder = sessions.Recorder(stack)
    stack.agents[0].board.announcements.set({})
    stack.publish_endpoints()
    await recorder.send(0, "early", body=b"a")
    await recorder.send(0, "early-again", body=b"a", idempotent=True)
    await announce(recorder, 0)
    await recorder.send(0, "once", body=b"gang to hatch 3")
    await recorder.send(1, "once", body=b"gang to hatch 3")
    await recorder.send(1, "once", body=b"gang to hatch 4")
    await recorder.send(0, "tally", body=b"b", idempotent=True)
    await recorder.send(0, "bad id", body=b"c")
    await stack.kill_agent(0)
    recorder.record("kill", agent="a0")
    await stack.restart_agent(0)
    recorder.record("restart", agent="a0", incarnation="2")
    await recorder.send(1, "once", body=b"gang to hatch 3")
    await recorder.send(1, "tally", body=b"b", idempotent=True)
    await recorder.send(1, "after", body=b"d")
    await announce(recorder, 0, leaving=True)
    await recorder.send(1, "late", body=b"e")
    await stack.entries[1].requests.drain()
    recorder.record("drain", entry=1)
    await recorder.send(1, "after", body=b"d")
    await recorder.send(1, "never", body=b"f")
    recorder.check("announce_requests_kill_resend_drain")

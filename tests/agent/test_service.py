import aiohttp
import pytest

from bilberryroute import clock as clock_lib
from bilberryroute import process as process_lib
from bilberryroute import settings
from tests.utils import environment
from tests.utils import leader as leader_lib
from tests.utils import ports


@pytest.fixture
async def leader():
    leader = leader_lib.StandInLeader()
    await leader.open()
    yield leader
    leader.close()


@pytest.fixture
async def process(leader):
    cfg = settings.Settings(
        host="a1",
        failure_domain="apapa",
        roles=(settings.ProcessRole.AGENT,),
        listen=settings.Listen(
            http=ports.free_address(), datagram="127.0.0.1:0"
        ),
        replicas=(
            settings.ReplicaAddress(id="r1", grpc="", datagram=leader.address),
        ),
    )
    env = environment.fake_environment(clock=clock_lib.SystemClock())
    process = process_lib.build(cfg, env)
    yield process
    await process.stop()


async def test_agent_announces_its_address_and_becomes_ready(leader, process):
    await process.start()
    renewal = await leader.until(lambda r: r.desired_version == 1)
    assert renewal.http == process.http.address
    async with aiohttp.ClientSession() as session:
        async with session.get(
            f"http://{process.http.address}/readyz"
        ) as response:
            assert response.status == 200


async def test_worker_that_announces_itself_reaches_the_leader(leader, process):
    await process.start()
    announcement = {
        "name": "w1",
        "incarnation": "i1",
        "address": "127.0.0.1:9",
        "rack": "k1",
        "failure_domain": "apapa",
        "accelerators": 8,
        "cores": 30,
        "memory_mb": 65_536,
        "clock_ms": 0,
    }
    url = f"http://{process.http.address}/v1/workers"
    async with aiohttp.ClientSession() as session:
        async with session.post(url, json=announcement) as response:
            assert response.status == 200
        async with session.post(
            url, json=announcement | {"cores": 0}
        ) as response:
            assert response.status == 400
    renewal = await leader.until(lambda r: r.workers)
    assert renewal.workers[0].agent == "a1"


async def test_drain_is_reported_to_the_leader(leader, process):
    await process.start()
    await leader.until(lambda r: r.desired_version == 1)
    await process.drain()
    await leader.until(lambda r: r.draining)

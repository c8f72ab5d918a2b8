"""Orders that a suspended host reads long after they were sent."""

import asyncio
import socket

import pytest
from aiohttp import test_utils

from bilberryroute import metrics as metrics_lib
from bilberryroute import settings
from bilberryroute.platform import operators


class EvacuationClient:
    """Client of the leader that notes the orders which it is to propose."""

    def __init__(self):
        self.orders = []

    async def set_evacuated(self, zone, evacuated, within_ms):
        del within_ms
        self.orders.append((zone, evacuated))


@pytest.fixture
async def client():
    return EvacuationClient()


@pytest.fixture
async def server(client):
    api = operators.OperatorsApi(client, settings.Limits())
    app = api.application(metrics_lib.Metrics())
    async with test_utils.TestServer(app) as server:
        yield server


@pytest.mark.parametrize("method", ["POST", "DELETE"])
async def test_order_is_not_carried_out_once_its_caller_has_gone(
    server, client, method
):
    """It may have given the opposite order to another host since."""
    request = (
        f"{method} /bilberryroute/evacuate/apapa HTTP/1.1\r\n"
        f"Host: {server.host}\r\n\r\n"
    )
    # The event loop stands still meanwhile, as on a suspended host.
    with socket.create_connection((server.host, server.port)) as caller:
        caller.sendall(request.encode())
    await asyncio.sleep(0.3)
    assert client.orders == []


async def test_order_is_carried_out_while_its_caller_waits(server, client):
    async with test_utils.TestClient(server) as caller:
        for method in ("POST", "DELETE"):
            path = "/bilberryroute/evacuate/apapa"
            async with caller.request(method, path) as resp:
                assert resp.status == 200
    assert client.orders == [("apapa", True), ("apapa", False)]

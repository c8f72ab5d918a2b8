"""An entry's operator API over a fake control client."""

import random

from aiohttp import test_utils

from bilberryroute import api
from bilberryroute import clock as clock_lib
from bilberryroute import lifecycle
from bilberryroute import metrics as metrics_lib
from bilberryroute import rights as rights_lib
from bilberryroute import settings
from bilberryroute.entry import board as board_lib
from bilberryroute.entry import operators
from bilberryroute.entry import replicas
from tests.utils import control as control_lib

OPERATOR = "operator-token-0123456789"
TRUST = "trust-token-0123456789"
EXCHANGE = "exchange-token-0123456789"

RIGHTS = rights_lib.Rights(
    restricted=True,
    operators=(OPERATOR.encode(),),
    callers=(
        rights_lib.CallerToken(account="trust", token=TRUST.encode()),
        rights_lib.CallerToken(account="exchange", token=EXCHANGE.encode()),
    ),
)


def bearer(token: str) -> dict[str, str]:
    """Returns the header that carries a token."""
    return {"Authorization": f"Bearer {token}"} if token else {}


class FakeEntry:
    """HTTP server with the operator service.

    Attributes:
      control: The fake control client.
      metrics: Counters of the server.
      client: Client of the server, once started.
      drained: Whether the process was asked to leave.
    """

    def __init__(self, rights: rights_lib.Rights = RIGHTS):
        cfg = settings.Settings(
            host="e1",
            failure_domain="apapa",
            roles=(settings.ProcessRole.ENTRY,),
            limits=settings.Limits(body_bytes=4_096, ticket_bytes=16_384),
        )
        self.metrics = metrics_lib.Metrics()
        self.board = board_lib.new_board()
        self.control = control_lib.FakeControl(self.board)
        self.drained = False
        app = api.new_application(cfg.limits, self.metrics, rights)
        service = operators.OperatorService(
            cfg,
            self.board,
            self.control,
            clock_lib.ManualClock(offset=1_700_000_000_000),
            random.Random(0),
            self.metrics,
        )
        service.register(app)
        replicas.ReplicaRoutes(cfg.limits, self.control).register(app)
        lifecycle.Lifecycle(self._drain).register(app)
        self.client = test_utils.TestClient(test_utils.TestServer(app))

    def _drain(self) -> None:
        self.drained = True

    @property
    def url(self) -> str:
        """Returns the base URL of the server."""
        return str(self.client.make_url("/"))

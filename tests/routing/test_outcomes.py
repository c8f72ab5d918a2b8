import pytest

from bilberryroute.model import commands
from bilberryroute.routing import outcomes
from bilberryroute.routing import protocol


@pytest.mark.parametrize(
    "up_ms,proved", [(10_000, False), (10_150, False), (10_250, True)]
)
def test_restart_after_the_claim_is_no_proof_on_a_fast_clock(up_ms, proved):
    """The agent's clock may be 2% faster than the entry's."""
    claim = commands.ClaimHeld(
        request_id="r1",
        fingerprint="f",
        agent="a1",
        incarnation="i1",
        endpoint="e1",
        first=True,
    )
    reply = protocol.AgentReply(
        key="trust/r1", state=protocol.RequestState.STALE, up_ms=up_ms
    )
    assert outcomes.proves_not_run(claim, reply, 10_000) is proved

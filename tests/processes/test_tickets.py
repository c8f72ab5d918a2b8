"""Accepted tickets: never lost, one winner a number, in force everywhere."""

import asyncio
import re
import socket

import msgspec
import pytest

from bilberryroute import settings
from extras import cluster as cluster_lib
from tests.processes import operators

pytestmark = pytest.mark.serial

IN_FORCE_MS = 7_000
AGAIN_MS = 3_000
BURST = 100
CHANGES = 500
LAYOUT = cluster_lib.Layout(
    workers=0, endpoints=0, log=settings.Log(snapshot_entries=200)
)
CONTROLLED = ("e1", "e2", "a1", "a2", "a3")

_REVISION = re.compile(r"^bilberryroute_revision (\d+)", re.MULTILINE)


class Revisions:
    """Samples the revision in force in processes, and sees it never go back.

    Attributes:
      seen: Last revision of each process.
      steps_back: Processes whose revision went back, with both values.
    """

    def __init__(self, cluster: cluster_lib.Cluster):
        self.seen: dict[str, int] = {}
        self.steps_back: list[tuple[str, int, int]] = []
        self._cluster = cluster

    async def sample(self, names=CONTROLLED) -> dict[str, int]:
        """Reads the revision of each process that answers."""
        answers = await asyncio.gather(
            *(self._cluster.get(name, "/metrics") for name in names)
        )
        for name, answer in zip(names, answers, strict=True):
            found = _REVISION.search(answer.text) if answer else None
            if found is not None and int(found.group(1)):
                self._note(name, int(found.group(1)))
        return self.seen

    def _note(self, name: str, revision: int) -> None:
        known = self.seen.get(name, 0)
        if revision < known:
            self.steps_back.append((name, known, revision))
        self.seen[name] = revision

    async def until(self, revision: int, timeout_ms: int) -> None:
        """Waits until all processes have the revision in force."""

        async def everywhere() -> bool:
            seen = await self.sample()
            return all(seen.get(name) == revision for name in CONTROLLED)

        await cluster_lib.until(
            everywhere, timeout_ms, f"{revision} in force, seen {self.seen}"
        )


async def post_ticket(cluster, entry, number, name):
    """Posts a ticket that sets one account."""
    ticket = {"number": number, "accounts": [{"name": name}]}
    return await cluster.post(entry, "/v1/tickets", ticket)


async def send_without_reading(cluster, entry, number, name) -> None:
    """Posts a ticket and leaves before the answer."""
    host, _, port = cluster.http[entry].rpartition(":")
    ticket = {"number": number, "accounts": [{"name": name}]}
    body = msgspec.json.encode(ticket)
    head = "POST /v1/tickets HTTP/1.1\r\nHost: e\r\n"
    head += f"Content-Length: {len(body)}\r\n\r\n"
    with socket.create_connection((host, int(port))) as sock:
        sock.sendall(head.encode() + body)
        await asyncio.sleep(0.2)


async def test_race_on_one_number_has_one_winner(launch):
    cluster = await launch(LAYOUT)
    for number in range(1, 21):
        answers = await asyncio.gather(
            post_ticket(cluster, "e1", number, f"left-{number}"),
            post_ticket(cluster, "e2", number, f"right-{number}"),
        )
        codes = sorted(answer.status for answer in answers)
        assert codes == [200, 409], answers
        loser = next(a for a in answers if a.status == 409).json()
        winner = next(a for a in answers if a.status == 200).json()
        assert loser["winner_digest"] == winner["digest"]
        assert loser["next_number"] == number + 1
        assert loser["outcome"] == "not_run"

    number = 21
    await send_without_reading(cluster, "e1", number, "lost-answer")
    first = await post_ticket(cluster, "e2", number, "lost-answer")
    again = await post_ticket(cluster, "e1", number, "lost-answer")
    assert first.status == again.status == 200
    assert first.json() == again.json()
    other = await post_ticket(cluster, "e2", number, "other-content")
    assert other.status == 409
    assert other.json()["winner_digest"] == first.json()["digest"]


async def test_leader_killed_under_tickets_loses_none_accepted(launch):
    cluster = await launch(LAYOUT)
    operator = operators.Operator(cluster)
    await operator.apply(accounts=[{"name": "before"}])
    accepted: dict[int, str] = {}
    for killed in range(2):
        leader = await cluster.leader()
        task = asyncio.ensure_future(_apply_many(cluster, operator, accepted))
        await asyncio.sleep(0.3)
        cluster.children[leader].kill()
        since = operators.CLOCK.now()
        await _until_accepted_again(cluster, operator, accepted, task)
        assert operators.CLOCK.now() - since < AGAIN_MS, killed
        cluster.children[leader].start()
        await cluster.until_healthy(leader)
        await asyncio.sleep(1.0)
    for number, digest in accepted.items():
        answer = await cluster.get("e1", f"/v1/tickets/{number}")
        assert answer.json()["digest"] == digest, number


async def _apply_many(cluster, operator, accepted) -> None:
    while True:
        number = operator.number + 1
        answer = await post_ticket(cluster, "e2", number, f"t-{number}")
        assert answer is not None and answer.status == 200, answer
        operator.number = number
        accepted[number] = answer.json()["digest"]


async def _until_accepted_again(cluster, operator, accepted, task) -> None:
    """Waits until a ticket sent after the kill has been accepted."""
    number = operator.number
    while operator.number < number + 2:
        await asyncio.sleep(0.02)
        if task.done():
            task.result()
    task.cancel()
    await asyncio.gather(task, return_exceptions=True)
    # The last one may have been accepted while its answer was dropped.
    operator.number += 1
    name = f"t-{operator.number}"
    answer = await post_ticket(cluster, "e1", operator.number, name)
    assert answer.status == 200
    accepted[operator.number] = answer.json()["digest"]


async def test_ticket_without_a_majority_is_not_accepted(launch):
    """The followers are down, then the leader dies with its log's tail."""
    cluster = await launch(LAYOUT)
    await operators.Operator(cluster).apply(accounts=[{"name": "before"}])
    leader = await cluster.leader()
    followers = [r.id for r in cluster.replicas if r.id != leader]
    for name in followers:
        cluster.children[name].kill()
    pending = asyncio.ensure_future(post_ticket(cluster, "e1", 2, "tail"))
    await asyncio.wait([pending], timeout=1.0)
    cluster.children[leader].kill()
    for name in followers:
        cluster.children[name].start()
    answer = await pending
    kept = await cluster.get("e2", "/v1/tickets/2")
    if answer is not None and answer.status == 200:
        assert kept.status == 200, "an accepted ticket is gone"
    other = await post_ticket(cluster, "e2", 2, "other-content")
    assert other.status == (409 if kept.status == 200 else 200)


async def test_burst_and_return_after_many_changes(launch):
    """A burst in force in time; then processes that missed 500 changes."""
    cluster = await launch(LAYOUT)
    operator = operators.Operator(cluster)
    revisions = Revisions(cluster)
    for _ in range(BURST):
        await operator.apply(accounts=[{"name": "burst"}])
    await revisions.until(BURST, IN_FORCE_MS)

    cluster.children["a3"].freeze()
    cluster.children["e2"].freeze()
    for name in ("a2", "r3"):
        cluster.children[name].kill()
    for number in range(CHANGES):
        await operator.apply(accounts=[{"name": f"account-{number % 50}"}])
        if number % 100 == 0:
            await revisions.sample(("e1", "a1"))
    for name in ("a2", "r3"):
        cluster.children[name].start()
    cluster.children["a3"].resume()
    cluster.children["e2"].resume()
    await cluster.until_healthy("a2")
    await revisions.until(BURST + CHANGES, IN_FORCE_MS)
    assert revisions.steps_back == []

    await cluster.until_healthy("r3")
    leader = await cluster.leader()
    cluster.children[leader].kill()
    await operator.apply(accounts=[{"name": "after"}])
    await revisions.until(BURST + CHANGES + 1, IN_FORCE_MS)
    assert revisions.steps_back == []

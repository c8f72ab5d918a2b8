"""Repair of the group of replicas by an operator, then a second loss."""

import asyncio
import shutil
import socket
import urllib.parse

import msgspec
import pytest

from bilberryroute import clock as clock_lib
from bilberryroute import settings
from bilberryroute import settings_check
from extras import cluster as cluster_lib
from extras import processes
from tests.utils import ports

pytestmark = pytest.mark.serial

REPAIR_MS = 60_000
LAYOUT = cluster_lib.Layout(workers=0, endpoints=0)


def ticket(number):
    return {"number": number, "accounts": [{"name": f"account-{number}"}]}


async def accept(cluster, number):
    """Applies a ticket, again while it is not known to be accepted."""

    async def accepted():
        answer = await cluster.post("e1", "/v1/tickets", ticket(number))
        return answer is not None and answer.status == 200

    what = f"ticket {number} is accepted"
    await cluster_lib.until(accepted, REPAIR_MS, what)


async def members(cluster):
    """Returns the group's replicas, or none while nobody leads."""
    answer = await cluster.get("e1", "/v1/replicas")
    if answer is None or answer.status != 200:
        return []
    return answer.json()["replicas"]


def path_of(member, action=""):
    return f"/v1/replicas/{urllib.parse.quote(member['id'], safe='')}{action}"


async def test_second_host_is_lost_right_after_a_repair(launch):
    cluster = await launch(LAYOUT)
    await accept(cluster, 1)
    before = await members(cluster)
    leader = await cluster.leader()
    lost = next(name for name in ("r1", "r2", "r3") if name != leader)
    old = next(m for m in before if m["id"].startswith(f"{lost}#"))

    cluster.children[lost].kill()
    shutil.rmtree(cluster.folder / lost)
    await accept(cluster, 2)
    cluster.children[lost].start()

    async def learner():
        found = [m for m in await members(cluster) if m["role"] == "learner"]
        return found and found[0]["id"] != old["id"]

    await cluster_lib.until(learner, REPAIR_MS, "the replica is taken back")
    new = next(m for m in await members(cluster) if m["role"] == "learner")

    async def promoted():
        path = path_of(new, "/promote")
        answer = await cluster.ask("POST", "e1", path)
        if answer is not None and answer.status == 409:
            assert answer.json()["kind"] == "refused"
        return answer is not None and answer.status == 200

    await cluster_lib.until(promoted, REPAIR_MS, "the learner has caught up")
    answer = await cluster.ask("DELETE", "e1", path_of(old))
    assert answer.status == 200, answer.text
    after = answer.json()["replicas"]
    assert old["id"] not in {m["id"] for m in after}
    assert [m["role"] for m in after].count("learner") == 0

    cluster.children[await cluster.leader()].kill()
    await accept(cluster, 3)
    for number in (1, 2, 3):
        kept = await cluster.get("e2", f"/v1/tickets/{number}")
        assert kept.json()["number"] == number


def add_host(cluster):
    """Starts a replica r4 that no other process knows of yet."""
    template = settings_check.load(str(cluster.folder / "r3.toml"))
    address = msgspec.structs.replace(
        template.replicas[2],
        id="r4",
        grpc=ports.free_address(),
        datagram=ports.free_address(socket.SOCK_DGRAM),
    )
    cfg = msgspec.structs.replace(
        template,
        host="r4",
        replica_id="r4",
        data_folder=str(cluster.folder / "r4"),
        replicas=(*template.replicas, address),
        listen=settings.Listen(
            http=ports.free_address(),
            grpc=address.grpc,
            datagram=address.datagram,
        ),
    )
    path = cluster.folder / "r4.toml"
    path.write_text(cluster_lib.to_toml(cfg))
    args = ["-m", "bilberryroute", "run", "--settings", str(path)]
    child = processes.Child("r4", args, cluster.folder)
    cluster.children["r4"] = child
    child.start()
    return address


async def test_host_is_replaced_under_a_new_name(launch):
    cluster = await launch(LAYOUT)
    await accept(cluster, 1)
    leader = await cluster.leader()
    gone = next(name for name in ("r1", "r2", "r3") if name != leader)
    cluster.children[gone].kill()
    address = msgspec.to_builtins(add_host(cluster))

    async def added():
        answer = await cluster.post("e1", "/v1/replicas", address)
        return answer is not None and answer.status == 200

    await cluster_lib.until(added, REPAIR_MS, "r4 is added")

    async def promoted():
        answer = await cluster.ask("POST", "e1", "/v1/replicas/r4/promote")
        return answer is not None and answer.status == 200

    await cluster_lib.until(promoted, REPAIR_MS, "r4 votes")
    answer = await cluster.ask("DELETE", "e1", f"/v1/replicas/{gone}")
    assert answer.status == 200, answer.text
    names = {m["id"].partition("#")[0] for m in answer.json()["replicas"]}
    assert names == {"r1", "r2", "r3", "r4"} - {gone}
    await accept(cluster, 2)


async def test_unsafe_removal_is_refused(launch):
    cluster = await launch(LAYOUT)
    await accept(cluster, 1)
    leader = await cluster.leader()
    others = [name for name in ("r1", "r2", "r3") if name != leader]
    cluster.children[others[0]].kill()
    needed = next(
        m for m in await members(cluster) if m["id"].startswith(f"{others[1]}#")
    )

    # The killed replica stays silent, so waiting longer changes nothing.
    silence_ms = 3 * LAYOUT.timing.election_ms
    await asyncio.sleep(clock_lib.seconds(silence_ms))
    answer = await cluster.ask("DELETE", "e1", path_of(needed))
    assert answer.status == 409
    assert answer.json()["kind"] == "refused"
    await accept(cluster, 2)

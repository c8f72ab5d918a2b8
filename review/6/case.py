"""A host is cut off while it passes on an order; the order arrives late."""

import asyncio
import sys
import time

from review.harness2 import proxy
from review.harness2 import system as system_lib

CASE = sys.argv[1]
KEY = "a" * 20
STEP = {"count": 1, "cpu": 1000, "memRequestMb": 64, "estimateMs": 300}
ZONE = "apapa"
CUT_S = 5.5
EVACUATION_S = 5.0
PATH = f"/bilberryroute/evacuate/{ZONE}"
GRPC = 1


async def play(system, trouble):
    """Evacuates a zone, takes it back and evacuates it again during a cut."""
    diskless = system.add_diskless()
    proxies = [
        proxy.Proxy(
            f"{ip}:{system_lib.PROXIED + GRPC}", f"{ip}:{system_lib.INTERNAL + GRPC}"
        )
        for ip in system.fronts
    ]
    for each in proxies:
        await each.start()
    try:
        return await evacuate(system, trouble, diskless, proxies)
    finally:
        for each in proxies:
            await each.close()


async def evacuate(system, trouble, diskless, proxies):
    """Gives the orders and hands in jobs all the while."""
    await system.start()
    await system.configure(
        1, [{"name": "tenant-a", "apiKeys": [KEY]}], {"plans": {"priority": 1}}
    )
    control = f"http://{diskless}:{system_lib.CONTROL}"

    async def knows_leader():
        status, _ = await system.call("GET", f"{control}/bilberryroute/config")
        return status == 200

    await system.until(knows_leader, 20, "the host without a disk serves operators")
    traffic = asyncio.create_task(hand_in(system))
    await system.order("POST", PATH)
    await asyncio.sleep(EVACUATION_S + 1)
    cut = time.monotonic()
    if trouble:
        system.note("the host without a disk is cut off")
        for each in proxies:
            each.cut()
    status, text = await system.call("DELETE", f"{control}{PATH}")
    system.note(f"operator: DELETE {PATH} at {diskless}: {status} {text[:80]}")
    if status != 200:
        await system.order("DELETE", PATH)
    await asyncio.sleep(1)
    acked = await system.order("POST", PATH)
    await asyncio.sleep(max(0, cut + CUT_S - time.monotonic()))
    await note_orders(system)
    for each in proxies:
        each.heal()
    system.note("the host without a disk is connected again")
    await asyncio.sleep(1)
    await note_orders(system)
    await asyncio.sleep(max(0, acked + EVACUATION_S + 12 - time.monotonic()))
    traffic.cancel()
    in_zone = {
        f"i-{number:08x}" for number, zone in enumerate(system.zones) if zone == ZONE
    }
    broken = []
    for each in system.events():
        late = each["at"] - acked - EVACUATION_S
        if each["event"] == "start" and each["runner"] in in_zone and late > 0:
            broken.append(
                f"{each['task']} was started on {each['runner']} in {ZONE},"
                f" {late + EVACUATION_S:.1f} s after its evacuation was"
                " acknowledged; it has not been taken back"
            )
    return broken


async def note_orders(system):
    """Notes how many evacuation orders each replica has carried out."""
    for ip in system.fronts:
        _, text = await system.call("GET", f"http://{ip}:9464/metrics")
        counts = [
            line
            for line in text.splitlines()
            if "SetEvacuated" in line and "commands" in line
        ]
        system.note(f"replica at {ip}: {counts}")


async def hand_in(system):
    """Hands in a small job twice a second."""
    while True:
        body = {"spec": "ms=300", "steps": [STEP]}
        await system.ask("POST", "plans", system_lib.new_id(), KEY, body, quiet=True)
        await asyncio.sleep(0.5)


system_lib.main(play, CASE)

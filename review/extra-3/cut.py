"""Replicas crash while they write answers that have neither a length nor chunks."""

import asyncio
import os
import random
import sys

HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(HERE, "../lib-3"))

from rig import Replica, call, encode, main, plain_service, read_body, route  # noqa: E402

HALVES, HALF_S = (b"a" * 400, b"b" * 400), 0.15
REQUESTS_PER_S = 20
# `srv_crash`: share .17 of six replicas, down for 4.5 s; once each 5 s.
REPLICAS, CRASHES, CRASH_PAUSE_S, DOWN_S = 6, 4, 5.0, 4.5
# CODING="" leaves the header out.
CODING = os.environ.get("CODING", "identity")


async def case(rig, trouble):
    replicas = []

    async def answer(replica, request, reader, writer):
        await read_body(reader, request)
        more = [("Transfer-Encoding", CODING)] if CODING else []
        first, headers = replica.head(request, more=[*more, ("Connection", "close")])
        attempt = request.get("Toucanchute-Attempt-Id")
        writer.write(encode(first, headers, HALVES[0], length=False))
        await writer.drain()
        try:
            await asyncio.sleep(HALF_S)
        except asyncio.CancelledError:
            rig.write(f"replica {replica.id} ends in the middle of its answer to {attempt}")
            raise
        writer.write(HALVES[1])
        await writer.drain()
        raise EOFError("the answer ends with its connection")

    async def start_replica(number):
        replica = Replica(rig, "bookings", answer, slots=6)
        await replica.start(rig.ip(100 + number))
        return replica

    await rig.start_store()
    routes = [route("visits", "bookings", "non_idempotent", attempts=1, timeoutMs=1500)]
    tenants = [{"name": "tenant-1", "apiKeys": ["key-1"], "priority": 1}]
    rig.configure(routes, [plain_service("bookings")], tenants)
    for number in range(REPLICAS):
        replicas.append(await start_replica(number))
    await rig.start_gateways(2)

    async def crash():
        for number in range(CRASHES):
            await asyncio.sleep(CRASH_PAUSE_S)
            at = random.randrange(REPLICAS)
            # As a process that is killed: its listener ends first, then its connections.
            rig.write(f"replica {replicas[at].id} is killed")
            replicas[at].end()
            asyncio.create_task(replace(at, replicas[at].id))

    async def replace(at, old):
        await asyncio.sleep(rig.heartbeat_s * 3)
        rig.store.remove(f"servers/{old}")
        await asyncio.sleep(DOWN_S - rig.heartbeat_s * 3)
        replicas[at] = await start_replica(at)

    statuses, cut = {}, []

    async def ask(number):
        gateway = rig.gateways[number % 2]
        try:
            got = await call(rig, gateway.front, "POST", "/visits/2f", "key-1", 1500, b"visit")
        except (OSError, EOFError) as e:
            statuses[type(e).__name__] = statuses.get(type(e).__name__, 0) + 1
            return
        statuses[got.status] = statuses.get(got.status, 0) + 1
        if got.status == 200 and got.body != b"".join(HALVES):
            cut.append(number)
            attempt = got.get("Toucanchute-Attempt-Id")
            rig.write(f"client of {attempt}: 200 with {len(got.body)} of {len(b''.join(HALVES))} bytes, whole")

    crasher = asyncio.create_task(crash()) if trouble else None
    tasks = []
    for number in range(int((CRASHES + 1) * CRASH_PAUSE_S * REQUESTS_PER_S)):
        tasks.append(asyncio.create_task(ask(number)))
        await asyncio.sleep(1 / REQUESTS_PER_S)
    await asyncio.gather(*tasks)
    if crasher:
        await crasher
    rig.write(f"answers by status {statuses}, cut and complete to the client: {len(cut)}")
    rig.write(f"MIXED {'broken' if cut else 'held'}")
    print(f"answers by status {statuses}, cut and complete to the client: {len(cut)}")
    return 1 if cut else 0


main(case, HERE)

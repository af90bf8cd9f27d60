"""A replica in need asks a gateway to send it nothing for longer than a minute."""

import asyncio
import os
import sys
import time

HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(HERE, "../lib-3"))

from rig import PREFIX, Replica, call, encode, main, plain_service, read_body, route  # noqa: E402

RETRY_AFTER_S = 90
REQUESTS_PER_S = 30
SECONDS = 78


async def case(rig, trouble):
    asked_at, early = None, []

    async def book(replica, request, reader, writer):
        nonlocal asked_at
        await read_body(reader, request)
        await asyncio.sleep(0.15)
        if not (trouble and replica.in_need):
            first, headers = replica.head(request)
            writer.write(encode(first, headers, b"booked"))
            return
        since = time.monotonic() - asked_at if asked_at else 0.0
        more = [(PREFIX + "Not-Executed", "1")]
        if asked_at is None:
            asked_at = time.monotonic()
            more.append(("Retry-After", str(RETRY_AFTER_S)))
            rig.write(f"replica {replica.id} answers 503 with Retry-After: {RETRY_AFTER_S}")
        elif 0.5 < since < RETRY_AFTER_S:
            early.append(since)
            rig.write(f"replica {replica.id} gets a request {since:.1f} s after its Retry-After")
        first, headers = replica.head(request, "503 Service Unavailable", seal=False, more=more)
        writer.write(encode(first, headers))

    await rig.start_store()
    routes = [route("visits", "bookings", "non_idempotent", attempts=2, timeoutMs=1500)]
    tenants = [{"name": "tenant-1", "apiKeys": ["key-1"], "priority": 1}]
    rig.configure(routes, [plain_service("bookings")], tenants)
    for number in range(3):
        replica = Replica(rig, "bookings", book, slots=6)
        replica.in_need = number == 0
        await replica.start(rig.ip(100 + number))
    await rig.start_gateways(1)

    statuses = {}

    async def ask():
        got = await call(rig, rig.gateways[0].front, "POST", "/visits/2f", "key-1", 1500, b"visit")
        statuses[got.status] = statuses.get(got.status, 0) + 1

    tasks = []
    for _ in range(SECONDS * REQUESTS_PER_S):
        tasks.append(asyncio.create_task(ask()))
        await asyncio.sleep(1 / REQUESTS_PER_S)
    await asyncio.gather(*tasks)
    # BUDGET allows two.
    broken = len(early) > 2
    rig.write(f"answers by status {statuses}")
    rig.write(f"requests in the time that was asked for: {len(early)}: BUDGET {'broken' if broken else 'held'}")
    print(f"answers by status {statuses}, {len(early)} requests in the time that was asked for")
    return 1 if broken else 0


main(case, HERE)

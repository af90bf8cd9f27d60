"""Some replicas answer a few requests with bytes that are no response to them: a bare 101."""

import asyncio
import os
import sys

HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(HERE, "../lib-3"))

from rig import Client, Replica, encode, main, plain_service, read_body, route  # noqa: E402

REQUESTS, REQUESTS_PER_S = 600, 40
TIMEOUT_MS = 800
# `garble`: share (.5) of the replicas spoil x (.02) of their answers.
SPOILT_SHARE, SPOILT_PER = 0.5, 50
REPLICAS = 4


async def case(rig, trouble):
    spoilt = []

    async def book(replica, request, reader, writer):
        await read_body(reader, request)
        replica.count = getattr(replica, "count", 0) + 1
        await asyncio.sleep(0.01)
        if trouble and replica.faulty and replica.count % SPOILT_PER == 0:
            spoilt.append(request.get("Toucanchute-Attempt-Id"))
            first, headers = replica.head(request, "101 Switching Protocols", seal=False)
            rig.write(f"replica {replica.id} answers {spoilt[-1]} with 101 and stays open")
            writer.write(encode(first, headers, length=False))
            await writer.drain()
            await asyncio.sleep(3)
            return
        first, headers = replica.head(request)
        writer.write(encode(first, headers, b"booked"))

    await rig.start_store()
    routes = [route("visits", "bookings", "non_idempotent", attempts=1, timeoutMs=TIMEOUT_MS)]
    tenants = [{"name": "tenant-1", "apiKeys": ["key-1"], "priority": 1}]
    rig.configure(routes, [plain_service("bookings")], tenants)
    for number in range(REPLICAS):
        replica = Replica(rig, "bookings", book, slots=6)
        replica.faulty = number < REPLICAS * SPOILT_SHARE
        await replica.start(rig.ip(100 + number))
    await rig.start_gateways(2)

    statuses, never = {}, []

    async def ask(number):
        client = Client(rig, rig.gateways[number % 2].front)
        await client.connect()
        attempt = await client.send("POST", "/visits/2f", "key-1", 1500, b"visit")
        try:
            head = await asyncio.wait_for(client.receive_head(), 5)
            statuses[head.status] = statuses.get(head.status, 0) + 1
            if head.status == 101:
                # The client asked for no other protocol, so that 101 answers nothing.
                try:
                    rest = await asyncio.wait_for(client.reader.read(100), TIMEOUT_MS / 1000 + 0.5)
                except asyncio.TimeoutError:
                    rest = None
                then = "nothing" if rest is None else repr(rest) if rest else "a close"
                rig.write(f"client of {attempt} gets 101, then {then}")
                if not rest:
                    never.append(attempt)
            elif head.status != 200:
                rig.write(f"client of {attempt} gets {head.status}")
        except (EOFError, asyncio.TimeoutError) as e:
            rig.write(f"client of {attempt}: {e!r}")
        client.close()

    tasks = []
    for number in range(REQUESTS):
        tasks.append(asyncio.create_task(ask(number)))
        await asyncio.sleep(1 / REQUESTS_PER_S)
    await asyncio.gather(*tasks)
    wrong = statuses.get(101, 0)
    rig.write(f"{REQUESTS} requests, {len(spoilt)} answers spoilt, answers by status {statuses}")
    rig.write(f"{len(never)} clients got no final answer")
    rig.write(f"MIXED {'broken' if wrong else 'held'}")
    print(f"{len(spoilt)} spoilt, answers by status {statuses}, {len(never)} without a final answer")
    return 1 if wrong else 0


main(case, HERE)

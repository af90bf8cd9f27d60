"""One tenant sends many times its usual to a model route whose answers come in one piece."""

import asyncio
import json
import os
import sys
import time

HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(HERE, "../lib-3"))

from rig import PREFIX, Replica, call, encode, engine_service, main, read_body, route  # noqa: E402

PROMPT, MOST, MADE = 900, 100, 60
USUAL = 40
# The site files give a tenant 1.3 times what it usually needs (`prepaid_x`).
PREPAID = USUAL * (PROMPT + MADE) * 13 // 10
# `hot_tenant` in the site file: x = 7.5, for_s = 6.5. For the rest the tenant sends as usual.
TIMES, HOT_S = 7.5, 6.5
SECONDS = 10
# KIND=streaming sends the same to a route that streams, for comparison.
STREAMS = os.environ.get("KIND") == "streaming"
EVENTS, STRIDE = 10, 6


async def case(rig, trouble):
    ran = []

    async def answer(replica, request, reader, writer):
        await read_body(reader, request)
        ran.append(request.get(PREFIX + "Attempt-Id"))
        rig.write(f"replica {replica.id} runs {ran[-1]}")
        await asyncio.sleep(0.03)
        if not STREAMS:
            first, headers = replica.head(request)
            writer.write(encode(first, headers, json.dumps({"tokens": MADE}).encode()))
            return
        more = [("Content-Type", "text/event-stream"), ("Transfer-Encoding", "chunked")]
        first, headers = replica.head(request, more=more)
        writer.write(encode(first, headers, length=False))
        for number in range(1, EVENTS + 1):
            event = f"id: {number}\ndata: six tokens\n\n".encode()
            writer.write(f"{len(event):x}\r\n".encode() + event + b"\r\n")
            await writer.drain()
        writer.write(b"0\r\n\r\n")

    await rig.start_store()
    kind = "streaming" if STREAMS else "non_idempotent"
    routes = [route("ask", "model", kind, attempts=1, sticky=True, timeoutMs=5000)]
    tenants = [{"name": "tenant-1", "apiKeys": ["key-1"], "priority": 1, "prepaid": PREPAID}]
    rig.configure(routes, [engine_service("model", STRIDE)], tenants)
    for number in range(2):
        await Replica(rig, "model", answer, engine=True).start(rig.ip(100 + number))
    await rig.start_gateways(3)

    statuses, used = {}, 0

    async def ask(number):
        nonlocal used
        gateway = rig.gateways[number % len(rig.gateways)]
        head = [
            (PREFIX + "Model", "m"),
            (PREFIX + "Token-Usage", f"{PROMPT},{MOST}"),
            (PREFIX + "Prompt-Prefix", f"{number + 1:x}:{PROMPT}"),
        ]
        attempt = f"{number:016x}"
        rig.write(f"request {number} ({attempt}) is sent to {gateway.name}")
        try:
            got = await call(
                rig, gateway.front, "POST", "/ask/2f", "key-1", 5000, b"prompt", attempt, more=head
            )
        except (OSError, EOFError) as e:
            rig.write(f"request {number} at {gateway.name}: {e!r}")
            return
        statuses[got.status] = statuses.get(got.status, 0) + 1
        made = 0
        if got.status == 200:
            made = got.body.count(b"id:") * STRIDE if STREAMS else json.loads(got.body)["tokens"]
            used += PROMPT + made
        rig.write(f"request {number} at {gateway.name}: {got.status}, {made} tokens out, {used} in all")

    usual_per_s = USUAL / SECONDS
    began, tasks = time.monotonic(), []
    while (passed := time.monotonic() - began) < SECONDS:
        hot = trouble and passed < HOT_S
        tasks.append(asyncio.create_task(ask(len(tasks))))
        await asyncio.sleep(1 / (usual_per_s * (TIMES if hot else 1)))
    count = len(tasks)
    await asyncio.gather(*tasks)
    broken = used > PREPAID
    rig.write(f"{count} requests, answers by status {statuses}, {len(ran)} ran")
    rig.write(f"prepaid {PREPAID}, delivered {used}: BUDGET {'broken' if broken else 'held'}")
    print(f"prepaid {PREPAID}, delivered {used}, answers by status {statuses}")
    return 1 if broken else 0


main(case, HERE)

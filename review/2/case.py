"""A tenant is refused with 402 though most of its prepaid total is unspent, after the process that
last wrote to the store under a condition was killed."""

import asyncio
import pathlib
import signal
import sys

HERE = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent / 'standins'))
from standins import *  # noqa: E402

PREPAID = 100_000
PROMPT, MOST_OUTPUT = 600, 4_000
EVENTS, STRIDE = 10, 6
USED = PROMPT + EVENTS * STRIDE
CROWD = 15
LATER = 60


async def respond(replica, request, reader, writer):
    """Streams 10 events of 6 tokens in 4 s."""
    writer.write(replica.stream_head(request))
    for i in range(EVENTS):
        writer.write(chunk(b'id: %d\ndata: %s\n\n' % (i + 1, b'x' * 50)))
        await writer.drain()
        await asyncio.sleep(0.4 if request.attempt.startswith('crowd') else 0.02)
    writer.write(b'0\r\n\r\n')
    await writer.drain()
    replica.record.line(f'run {request.attempt} at {replica.name}: whole stream')
    return True


async def case(record, folder, trouble, gateways):
    store = Store(record)
    await store.start()
    await store.put('op/config', llm_config(1, PREPAID))
    for i, zone in enumerate(['bilbao', 'santander', 'oviedo', 'pamplona']):
        await Replica(store, record, f'i-{i}', 'llm', zone, respond).start()
    await start_gateways(folder, store, record, gateways, 5)

    async def send(gateway, name):
        headers = llm_headers(name, 'key-of-t1', f'{PROMPT},{MOST_OUTPUT}', 15000, f'{abs(hash(name)):x}:600')
        a = await one_request(gateway.front, 'POST', '/llm/x', headers, b'x' * 800)
        record.line(f'answered {name} by {gateway.name}: {a}')
        return a

    spent = 0
    first = await send(gateways[0], 'first')
    if not first.complete or first.status != 200:
        raise CannotRun(f'the first request: {first}')
    spent += USED
    await asyncio.sleep(1.5)
    writer = next(g for g in gateways if g.name == store.last_conditional_writer)
    others = [g for g in gateways if g is not writer]
    crowd = [asyncio.create_task(send(others[i % len(others)], f'crowd-{i}')) for i in range(CROWD)]
    await asyncio.sleep(2)
    if trouble:
        writer.signal(signal.SIGKILL)
        writer.process.wait()
        await asyncio.sleep(1)
        writer.start()
    answers = await asyncio.gather(*crowd)
    served = sum(a.status == 200 and a.complete for a in answers)
    spent += served * USED
    print(f'{served} of {CROWD} streams at the kill were served whole')
    # stableMs twice and more, until all machines are in touch, and longer than settle_ms.
    await asyncio.sleep(10)

    counts, wrong = {}, 0
    for i in range(LATER):
        a = await send(others[i % len(others)], f'later-{i}')
        counts[a.status] = counts.get(a.status, 0) + 1
        if a.status == 200:
            spent += USED
        elif a.status == 402 and spent + PROMPT + MOST_OUTPUT <= 0.97 * PREPAID:
            wrong += 1
        await asyncio.sleep(0.05)
    total = 1 + CROWD + LATER
    bound = 5 + total / 500
    text = f'later answers by status: {counts}; spent {spent} of {PREPAID}; {wrong} answered 402 though they fit, {bound:.1f} allowed'
    print(text)
    record.line(text)
    return wrong > bound


run_case(HERE, case)

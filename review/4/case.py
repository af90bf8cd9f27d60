"""Streams that callers send just over 3 s after a gateway's SIGTERM are accepted, passed on and cut when
the process ends."""

import asyncio
import itertools
import pathlib
import sys

HERE = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent / 'standins'))
from standins import *  # noqa: E402

GATEWAYS = 7
REPLICAS = 9
STOPS = 6
PER_S = 25             # streams a second through the gateway that is stopped
EVENTS, GAP_S = 30, 0.2
GRACE_S = 8
LATE_S = 3             # the rule excuses a cut only for requests sent up to then


async def respond(replica, request, reader, writer):
    """Streams 30 events in 6 s."""
    writer.write(replica.stream_head(request))
    for i in range(EVENTS):
        writer.write(chunk(b'id: %d\ndata: %s\n\n' % (i + 1, b'x' * 50)))
        await writer.drain()
        await asyncio.sleep(GAP_S)
    writer.write(b'0\r\n\r\n')
    await writer.drain()
    replica.record.line(f'run {request.attempt} at {replica.name}: whole stream')
    return True


async def case(record, folder, trouble, gateways):
    store = Store(record)
    await store.start()
    await store.put('op/config', llm_config(1, 1_000_000_000))
    zones = ['bilbao', 'santander', 'oviedo', 'pamplona']
    replicas = [Replica(store, record, f'i-{i}', 'llm', zones[i % 4], respond) for i in range(REPLICAS)]
    for r in replicas:
        await r.start()
    await start_gateways(folder, store, record, gateways, GATEWAYS)
    numbers = itertools.count(1)
    lost = cut = late = 0

    async def send(gateway):
        n = next(numbers)
        headers = llm_headers(f'stream-{n}', 'key-of-t1', '600,180', 15000, f'{n:x}:600')
        a = await one_request(gateway.front, 'POST', '/llm/x', headers, b'x' * 800)
        record.line(f'answered stream-{n} by {gateway.name}, sent at {a.sent_at:.3f}: {a}')
        return f'stream-{n}', a

    for stop in range(STOPS):
        g = gateways[stop]
        tasks = []
        until = now() + 1
        while now() < until:
            tasks.append(asyncio.create_task(send(g)))
            await asyncio.sleep(1 / PER_S)
        if trouble:
            g.signal(signal.SIGTERM)
        signalled = now()
        while now() < signalled + LATE_S + 0.5:
            tasks.append(asyncio.create_task(send(g)))
            await asyncio.sleep(1 / PER_S)
        answers = await asyncio.gather(*tasks)
        if trouble:
            while not g.exited() and now() < signalled + GRACE_S:
                await asyncio.sleep(0.05)
            record.line(f'{g.name} ended {now() - signalled:.2f} s after the signal')
            g.process.wait()
            g.start()
            await wait_ready([g])
        arrived = {a.attempt for r in replicas for a in r.arrivals}
        for name, a in answers:
            is_cut = a.status == 200 and not a.complete
            cut += is_cut
            sent_late = a.sent_at > signalled + LATE_S
            late += sent_late and name in arrived
            if is_cut and sent_late and name in arrived:
                lost += 1
                record.line(f'lost: {name}, sent {a.sent_at - signalled:.3f} s after the signal, '
                            f'cut {a.ended_at - a.sent_at:.2f} s later')
        await asyncio.sleep(0.5)

    text = (f'{STOPS} gateways stopped in turn; {cut} streams cut in all; of {late} sent later than {LATE_S} s '
            f'after the signal and passed on, {lost} were cut')
    print(text)
    record.line(text)
    return lost > 0


run_case(HERE, case)

"""After all gateways were killed at once, a tenant that had consumed a seventh of its prepaid total is
served hardly at all."""

import asyncio
import pathlib
import signal
import sys

HERE = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent / 'standins'))
from standins import *  # noqa: E402

GATEWAYS = 7
PREPAID = 100_000
PROMPT, MOST_OUTPUT = 600, 4_000
EVENTS, STRIDE = 10, 6
USED = PROMPT + EVENTS * STRIDE
BEFORE = 12
CROWD = 18
LATER = 60
DOWN_S = 1.1
RECOVER_S = 12


async def respond(replica, request, reader, writer):
    """Streams 10 events of 6 tokens in 4 s, or faster for requests that are sent one by one."""
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
    await start_gateways(folder, store, record, gateways, GATEWAYS)
    number = 0

    async def send(kind):
        nonlocal number
        number += 1
        name, gateway = f'{kind}-{number}', gateways[number % len(gateways)]
        headers = llm_headers(name, 'key-of-t1', f'{PROMPT},{MOST_OUTPUT}', 15000, f'{number:x}:600')
        a = await one_request(gateway.front, 'POST', '/llm/x', headers, b'x' * 800)
        record.line(f'answered {name} by {gateway.name}: {a}')
        return a

    def good(answers):
        return sum(a.status == 200 and a.complete for a in answers)

    before = []
    for _ in range(BEFORE):
        before.append(await send('before'))
        await asyncio.sleep(0.3)
    crowd = [asyncio.create_task(send('crowd')) for _ in range(CROWD)]
    await asyncio.sleep(2)
    if trouble:
        # The fault comes right after a configuration is acknowledged; it only has another version.
        await store.put('op/config', llm_config(2, PREPAID))
        record.line('version 2 of the configuration is acknowledged')
        for g in gateways:
            g.signal(signal.SIGKILL)
        for g in gateways:
            g.process.wait()
        await asyncio.sleep(DOWN_S)
        for g in gateways:
            g.start()
    before += await asyncio.gather(*crowd)
    await wait_ready(gateways)
    await asyncio.sleep(RECOVER_S)
    # At most what all requests before can have consumed: a cut stream at most as much as a whole one.
    consumed = len(before) * USED

    later = []
    for _ in range(LATER):
        later.append(await send('later'))
        await asyncio.sleep(0.05)
    statuses = {}
    for a in later:
        statuses[a.status] = statuses.get(a.status, 0) + 1
    served = good(later)
    most = consumed + served * USED + PROMPT + MOST_OUTPUT
    begun = sum(a.status == 200 for a in before)
    text = (f'before the final fault {begun} of {len(before)} requests were answered with a stream, {good(before)} '
            f'of them whole; later than {RECOVER_S} s after it {served} of {LATER} were served, by status {statuses}; '
            f'consumed by then at most {consumed + served * USED} of {PREPAID}')
    print(text)
    record.line(text)
    if good(before) < len(before) / 4 or most > 0.97 * PREPAID:
        raise CannotRun('the requests before were not served, or the total was spent')
    return served < LATER / 4


run_case(HERE, case)

"""A bad part of prompts comes just after the routers were restarted: what becomes of the first part that all share?"""
import pathlib, sys, threading, time

HERE = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent / 'standins-2'))
from standins import *

ZONES = ['bilbao', 'santander', 'oviedo']
SHARED = 'f1'
BAD = 'bad0'
EVENTS = 25
PAUSE_S = 0.1
CLIENTS = 12
BACK_S = 2.0
TROUBLE_S = 28
STABLE_S = 3
# After the restarts, the traffic grows by one client in this time; the first bad request comes before it.
GROWTH_S = 0.3
HEAD_START_S = 2.0


def config():
    return {'version': 1, 'routes': [route('talk', '/talk/', 'streaming', 'llm', resumable=True)],
            'services': [service('llm', 64)], 'limits': LIMITS,
            'tenants': [{'name': 'org', 'apiKeys': ['key-org'], 'prepaid': 50_000_000}]}


def case(record, temp, routers, trouble):
    store = Store(record)
    crashes, lock = [], threading.Lock()

    def generate(req):
        replica, run = req.replica, req.replica.run
        after = int(req.headers.get('last-event-id', '0'))
        time.sleep(0.05)
        if BAD in req.headers.get('toucanchute-prompt-prefix', ''):
            with lock:
                if replica.run is not run:
                    return
                record(f'replica {replica.id}: begins to answer {req.id}, which has the bad part')
                crashes.append(time.monotonic())
                replica.crash()
            spawn(back, replica)
            return
        with lock:
            begun.add(req.id)
        req.stream(EVENTS, PAUSE_S, until=lambda: replica.run is not run, after=after)

    def back(replica):
        time.sleep(BACK_S)
        replica.restart('v1', 0.0)

    begun = set()
    [Replica(store, record, 'llm', f'llm-{n}', ZONES[n % 3], generate) for n in range(6)]
    store.put('op/config', config())
    routers += [Router(record, temp, store, f'router-{z}', z, ZONES) for z in ZONES]
    for r in routers:
        r.wait_ready()
    time.sleep(4)
    sent = []
    start_of_trouble = time.monotonic() + 10

    def sound(n, until):
        time.sleep(n * GROWTH_S if until > start_of_trouble else 0.0)
        while time.monotonic() < until:
            id, at = new_id(), time.monotonic()
            parts = [(SHARED, 300), (f'e{n % 8:x}', 200), (f'{n + 1:x}{random.getrandbits(40):010x}', 60)]
            answer = ask(random.choice(routers).front, 'POST', f'/talk/{id}', id, 'key-org', id.encode(), 8000,
                         generation(560, 200, parts))
            record(f'client: {id}: {answer.status} {"whole" if answer.complete else "cut"} '
                   f'{answer.body if answer.status != 200 else ""}')
            with lock:
                sent.append((at, id))
            time.sleep(max(0.1, at + 1.0 - time.monotonic()) if answer.status != 200 else 0.1)

    def bad(until):
        while time.monotonic() < until:
            id = new_id()
            def one(id=id):
                answer = ask(random.choice(routers).front, 'POST', f'/talk/{id}', id, 'key-org', id.encode(), 1500,
                             generation(560, 200, [(SHARED, 300), (BAD, 200), (f'ff{random.getrandbits(40):010x}', 60)]))
                record(f'client with the bad part: {id}: {answer}')
            spawn(one)
            time.sleep(random.uniform(0.15, 0.9))

    def traffic(seconds):
        until = time.monotonic() + seconds
        threads = [threading.Thread(target=sound, args=(n, until)) for n in range(CLIENTS)]
        if trouble and seconds == TROUBLE_S:
            threads.append(threading.Thread(target=bad, args=(until,)))
        threads.reverse()
        for t in threads:
            t.start()
            if t is threads[0] and trouble and seconds == TROUBLE_S:
                time.sleep(HEAD_START_S)
        [t.join() for t in threads]

    traffic(8)
    calm_end = time.monotonic()
    # Planned work while it is quiet: the machines are stopped and started in turn.
    for r in routers:
        record(f'router {r.name}: SIGTERM')
        r.process.terminate()
        r.process.wait()
        r.start()
        r.wait_ready()
    time.sleep(4)
    traffic(TROUBLE_S)
    calm = [id in begun for at, id in sent if at < calm_end]
    last = (crashes[4] if len(crashes) >= 5 else crashes[-1]) if crashes else calm_end
    late = [id in begun for at, id in sent if at > max(last, calm_end) + 2 * STABLE_S]
    text = f'{len(crashes)} crashes; sound requests that began: {sum(calm)} of {len(calm)} before, {sum(late)} of {len(late)} later'
    record(text)
    print(text)
    # LOST: sound requests of the route with the same first part begin less than half as often (20 or more of each).
    enough = len(calm) >= 20 and len(late) >= 20
    return int(enough and sum(late) / len(late) < sum(calm) / len(calm) / 2)


run_case(HERE, case)

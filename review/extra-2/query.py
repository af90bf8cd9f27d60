"""Shown, but not among the five cases: one lookup crashes the replicas that run it: what becomes of the lookups with other queries on the same path?"""
import pathlib, sys, threading, time

HERE = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent / 'standins-2'))
from standins import *

ZONES = ['bilbao', 'santander', 'oviedo', 'pamplona']
TRAFFIC_S = 60
BAD = 'q=bad'


def config():
    routes = [route('find', '/find/', 'safe', 'app', timeoutMs=800, goalMs=150),
              route('book', '/book/', 'non_idempotent', 'app', attempts=1, timeoutMs=800, goalMs=150)]
    return {'version': 1, 'routes': routes, 'services': [service('app')], 'limits': LIMITS,
            'tenants': [{'name': t, 'apiKeys': [f'key-{t}']} for t in ('desk0', 'desk1', 'crew')]}


def case(record, temp, routers, trouble):
    store = Store(record)

    def handle(req):
        replica, run = req.replica, req.replica.run
        time.sleep(0.03)
        if replica.run is not run:
            return
        if BAD in req.path:
            record(f'replica {replica.id}: runs {req.id} {req.path}')
            replica.crash()
            spawn(back, replica)
            return
        record(f'replica {replica.id}: ran {req.id} {req.path}')
        req.answer(200, b'found')

    def back(replica):
        time.sleep(3)
        replica.restart('v1', 0.0)

    [Replica(store, record, 'app', f'app-{z}{n}', z, handle, slots=6) for z in ZONES for n in range(2)]
    store.put('op/config', config())
    routers += [Router(record, temp, store, f'router-{z}', z, ZONES) for z in ZONES[:3]]
    for r in routers:
        r.wait_ready()
    time.sleep(3)

    served, owed, lock = {}, {}, threading.Lock()
    start = time.monotonic()

    def send(tenant, method, path):
        id = new_id()
        answer = ask(random.choice(routers).front, method, path, id, f'key-{tenant}', b'{}' if method == 'POST' else b'', 1500)
        record(f'client: {id} {path} of {tenant}: {answer}')
        return answer.status == 200 and answer.complete

    def client(tenant, pause_s):
        while time.monotonic() < start + TRAFFIC_S:
            find = tenant != 'crew'
            ok = send(tenant, 'GET' if find else 'POST', f'/find/?q={new_id()}' if find else f'/book/{new_id()}')
            with lock:
                for group in (tenant, 'all'):
                    owed[group] = owed.get(group, 0) + 1
                    served[group] = served.get(group, 0) + ok
            time.sleep(pause_s)

    clients = [threading.Thread(target=client, args=(t, 0.4)) for t in ('desk0', 'desk1') for _ in range(2)]
    clients += [threading.Thread(target=client, args=('crew', 0.15)) for _ in range(6)]
    [c.start() for c in clients]
    time.sleep(5)
    for _ in range(4 if trouble else 0):
        # The same request comes again, at any machine.
        send('desk0', 'GET', f'/find/?{BAD}')
        time.sleep(1.5)
    [c.join() for c in clients]
    share = {t: served[t] / owed[t] for t in owed}
    for t in sorted(owed):
        record(f'{t}: {served[t]} of {owed[t]} served')
    print({t: f'{served[t]}/{owed[t]}' for t in sorted(owed)})
    # Starved: a tenant's requests are served less than a quarter as often as all.
    return int(any(share[t] < share['all'] / 4 for t in share))


# Its record goes beside the temporary files, so that the one of case.py stays.
run_case(tempfile.mkdtemp(prefix="review-query-"), case)

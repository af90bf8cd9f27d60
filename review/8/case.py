"""The store turns one machine away while another one loses its power: who spends the prepaid totals after that?"""
import pathlib, signal, sys, threading, time

HERE = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent / 'standins-2'))
from standins import *

ZONES = ['bilbao', 'santander', 'oviedo']
TENANTS = [f'org{n:02}' for n in range(24)]
TRAFFIC_S = 70
AWAY_S = 9.0
POWER_LOSS_AFTER_S = 1.15
DARK_S = 3.5


def config():
    return {'version': 1, 'routes': [route('talk', '/talk/', 'streaming', 'llm', resumable=True)],
            'services': [service('llm', 64)], 'limits': LIMITS,
            'tenants': [{'name': t, 'apiKeys': [f'key-{t}'], 'prepaid': 5_000_000} for t in TENANTS]}


def case(record, temp, routers, trouble):
    store = Store(record)

    def generate(req):
        record(f'replica {req.replica.id}: runs {req.id} of {req.headers.get("toucanchute-tenant")}')
        req.stream(5, 0.02)

    [Replica(store, record, 'llm', f'llm-{z}', z, generate) for z in ZONES]
    store.put('op/config', config())
    routers += [Router(record, temp, store, f'router-{z}', z, ZONES, own_door=True) for z in ZONES]
    for r in routers:
        r.wait_ready()
    time.sleep(4)
    # Planned work before the traffic: two machines are stopped and started in turn.
    for r in routers[1:]:
        record(f'router {r.name}: SIGTERM')
        r.process.terminate()
        r.process.wait()
        r.start()
        r.wait_ready()
        time.sleep(3)

    served, owed, late, lock = {}, {}, {}, threading.Lock()
    start = time.monotonic()

    def client(n):
        tenant = TENANTS[n % len(TENANTS)]
        while time.monotonic() < start + TRAFFIC_S:
            id = new_id()
            router = random.choice(routers)
            sent = time.monotonic() - start
            answer = ask(router.front, 'POST', f'/talk/{id}', id, f'key-{tenant}', b'{}', 5000,
                         generation(60, 30, [(f'{n + 1:x}1', 60)]))
            ok = answer.status == 200 and answer.complete
            record(f'client: {id} of {tenant} at {router.name}: {answer.status} {"" if ok else answer}')
            with lock:
                for group in (tenant, 'all'):
                    owed[group] = owed.get(group, 0) + 1
                    served[group] = served.get(group, 0) + ok
                    if sent > TRAFFIC_S / 2:
                        late.setdefault(group, []).append(ok)
            time.sleep(max(0.0, sent + 0.4 - (time.monotonic() - start)))

    clients = [threading.Thread(target=client, args=(n,)) for n in range(len(TENANTS))]
    [c.start() for c in clients]
    time.sleep(4)
    if trouble:
        away, dark = routers[0], routers[1]
        record(f'store: turns {away.name} away with 503 and serves the others')
        store.turned_away.add(away.name)
        time.sleep(POWER_LOSS_AFTER_S)
        # A loss of power: silent at first, and everything that was on its way to it is gone.
        record(f'router {dark.name}: loses its power')
        dark.process.send_signal(signal.SIGSTOP)
        time.sleep(1.5)
        dark.kill()
        time.sleep(DARK_S - 1.5)
        dark.start()
        time.sleep(AWAY_S - POWER_LOSS_AFTER_S - DARK_S)
        store.turned_away.clear()
        record('store: serves all machines')
    [c.join() for c in clients]
    share = {t: served[t] / owed[t] for t in owed}
    for t in sorted(owed):
        record(f'{t}: {served[t]} of {owed[t]} served, {sum(late[t])} of {len(late[t])} in the second half')
    starved = [t for t in TENANTS if share[t] < share['all'] / 4]
    print(f'all {served["all"]}/{owed["all"]}; starved: {[(t, f"{served[t]}/{owed[t]}") for t in starved]}')
    # Starved: a tenant's requests are served less than a quarter as often as all.
    return int(len(starved) > 0)


run_case(HERE, case)

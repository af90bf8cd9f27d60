"""Shown, but not among the five cases: a failure without a length whose replica crashes in the middle of it: does it look complete?"""
import pathlib, sys, threading, time

HERE = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent / 'standins-2'))
from standins import *

ZONES = ['a', 'b', 'c']


def config():
    routes = [route('book', '/book/', 'non_idempotent', 'app', attempts=1, timeoutMs=1500)]
    return {'version': 1, 'routes': routes, 'services': [service('app')], 'limits': LIMITS,
            'tenants': [{'name': f'org{n}', 'apiKeys': [f'key-org{n}']} for n in range(4)]}


def failure(id):
    return f'{{"error":"half booked","request":"{id}","van":"7","undo":"DELETE /book/{id}"}}'.encode()


def case(record, temp, routers, trouble):
    store = Store(record)
    crashing = threading.Event()
    cut, lock = set(), threading.Lock()

    def book(req):
        record(f'replica {req.replica.id}: runs {req.id}')
        time.sleep(0.02)
        if random.random() < 0.8:
            return req.answer(200, f'booked {req.id}'.encode())
        # A failure that has neither a length nor chunks, and ends with its connection.
        body = failure(req.id)
        half = len(body) // 2
        req.send(req.answer_head(500, [('Content-Type', 'application/json'), ('Connection', 'close')]) + body[:half])
        time.sleep(0.05)
        if crashing.is_set() and req.replica.id == 'app-a':
            with lock:
                cut.add(req.id)
            record(f'replica {req.replica.id}: has sent {half} of {len(body)} bytes of {req.id}')
            if req.replica.run is not None:
                req.replica.crash()
            return None
        req.send(body[half:])
        raise Broken('end of the answer')

    replicas = {z: Replica(store, record, 'app', f'app-{z}', z, book, slots=6) for z in ZONES}
    store.put('op/config', config())
    routers += [Router(record, temp, store, f'router-{z}', z, ZONES) for z in ZONES]
    for r in routers:
        r.wait_ready()
    time.sleep(3)

    wrong, count = [], []

    def client(n, until):
        while time.monotonic() < until:
            id = new_id()
            answer = ask(random.choice(routers).front, 'POST', f'/book/{id}', id, f'key-org{n % 4}', b'{}')
            record(f'client: {id}: {answer}')
            with lock:
                count.append(answer.status)
                whole = failure(id)
                sealed = 'toucanchute-response-seal' in answer.headers
                if answer.status == 500 and sealed and answer.complete and answer.body != whole:
                    wrong.append(id)
            time.sleep(0.05)

    def clients(seconds):
        until = time.monotonic() + seconds
        threads = [threading.Thread(target=client, args=(n, until)) for n in range(6)]
        [t.start() for t in threads]
        return threads

    # A replica crashes five times, and is back after some seconds.
    threads = clients(35)
    for round in range(5):
        time.sleep(3)
        if trouble:
            crashing.set()
            until = time.monotonic() + 2
            while replicas['a'].run is not None and time.monotonic() < until:
                time.sleep(0.02)
            crashing.clear()
        time.sleep(3)
        if replicas['a'].run is None:
            replicas['a'].restart('v1', 0.0)
    [t.join() for t in threads]
    record(f'{len(count)} requests, {len(cut)} failures cut by a crash, {len(wrong)} of them reached their client as whole')
    print(f'{len(count)} requests, {len(cut)} cut, {len(wrong)} looked complete')
    # MIXED: an answer that ends early must not look complete.
    return int(len(wrong) > 0)


# Its record goes beside the temporary files.
run_case(tempfile.mkdtemp(prefix="review-cut-"), case)

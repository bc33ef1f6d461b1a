"""A request that crashes its replicas, which restart under the id that they had. See claim.txt."""

import asyncio
import os
import sys

sys.dont_write_bytecode = True
HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(os.path.dirname(HERE), "standins2"))

from sitestandins import STABLE_MS, Channel, Entries, Replica, Store, configuration, conduct, draw_ip  # noqa: E402

TROUBLE = os.environ.get("TROUBLE", "1") != "0"  # 0: the same without the disruption
LENGTH_S = 60
DOWN_S = 2.0  # "the replica is back after some seconds"
REPLICAS = 6
CRASHES_BEFORE = 3
RETRIES_ALLOWED = 3
DEADLY = "/quotes/deadly"


class Brittle(Replica):
    """Crashes when it begins to run the deadly request, and starts again under the id that it had."""

    crashes = []  # (seconds, attempt id), of all replicas

    async def run(self, writer, attempt, method, target, headers, body):
        if target != DEADLY or not TROUBLE:
            return await super().run(writer, attempt, method, target, headers, body)
        Brittle.crashes.append((self.record.now(), attempt))
        self.crash()
        asyncio.get_running_loop().call_later(DOWN_S, lambda: asyncio.ensure_future(self.start()))
        return False


async def test(record):
    ip = draw_ip()
    store = Store(ip)
    await store.start()
    store.put("op/config", configuration(7, [
        {"name": "quotes", "prefix": "/quotes/", "routeType": "idempotent", "backend": "service-a", "attempts": 2, "timeoutMs": 2500, "targetLatencyMs": 150},
        {"name": "notices", "prefix": "/notices/", "routeType": "non_idempotent", "backend": "service-a", "timeoutMs": 2500, "targetLatencyMs": 150},
    ], ["service-a"]))
    replicas = [Brittle(store, record, ip, "i-%d" % n, "service-a", zone="zone-a" if n % 2 else "zone-b") for n in range(REPLICAS)]
    for replica in replicas:
        await replica.start()
    entries = Entries(store, record, ip, 2)
    notices = []
    try:
        await entries.start_all()
        ends = record.now() + LENGTH_S

        async def send_deadly():
            """The same caller repeats the request, with the same path and body, at any machine."""
            turn = 0
            while record.now() < ends:
                channel = Channel(record, entries.callers[turn % 2])
                await channel.ask("GET", DEADLY, 2500)
                channel.close()
                turn += 1
                await asyncio.sleep(1)

        async def send_notices(number):
            """Sound work, which may run once only."""
            channel = Channel(record, entries.callers[number % 2])
            while record.now() < ends:
                notices.append(await channel.ask("POST", "/notices/%d" % number, 2500, body=b"notice"))
                await asyncio.sleep(0.1)

        await asyncio.gather(send_deadly(), *(send_notices(number) for number in range(8)))
    finally:
        entries.stop_all()

    crashes = Brittle.crashes
    record.line("crashes: %d" % len(crashes))
    lost = sum(1 for each in notices if each.status not in (200, 503))
    record.line("sound notices: %d sent, %d neither answered with success nor refused as not run" % (len(notices), lost))
    if len(crashes) < CRASHES_BEFORE:
        return True
    since = crashes[CRASHES_BEFORE - 1][0] + STABLE_MS / 1000
    late = {attempt for at, attempt in crashes if at > since}
    record.line("third crash at %.3f s; retries that reach replicas after %.3f s: %d (allowed: %d)" % (
        crashes[CRASHES_BEFORE - 1][0], since, len(late), RETRIES_ALLOWED))
    print("%d crashes; %d retries reach replicas later than stableMs after the third; sound notices lost: %d of %d" % (
        len(crashes), len(late), lost, len(notices)))
    return len(late) <= RETRIES_ALLOWED


conduct(HERE, test, TROUBLE)

"""All machines but one lose power while a replica is being drained. See claim.txt."""

import asyncio
import os
import signal
import sys
import time

sys.dont_write_bytecode = True
HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(os.path.dirname(HERE), "standins2"))

from sitestandins import Channel, Entries, Replica, Store, configuration, conduct, draw_ip  # noqa: E402

TROUBLE = os.environ.get("TROUBLE", "1") != "0"  # 0: the same without the disruption
ENTRIES = 7
EPISODES = 8
STEADY_S = 5.0  # more than stableMs, after all entries are ready again
DARK_S = 3.5
DRAIN_S = 2.0  # drainMs
SERVES_LONGER_S = 0.15  # "continues serving for drainMs [...] and a little longer"
MARGIN_S = 0.03  # only requests that arrive clearly later are counted
SENT_S = 3.2  # for so long after the acknowledgement, requests are sent


def watchers(doors):
    """Entries that read the store for the others."""
    return [n for n, door in enumerate(doors) if time.monotonic() - door.watched_at.get("op/config", 0) < 1.5]


async def test(record):
    ip = draw_ip()
    store = Store(ip)
    await store.start()
    doors = [await store.door() for _ in range(ENTRIES)]
    routes = [{"name": "notices", "prefix": "/notices/", "routeType": "non_idempotent", "backend": "service-a", "timeoutMs": 2500, "targetLatencyMs": 150}]
    store.put("op/config", configuration(7, routes, ["service-a"]))
    replicas = [Replica(store, record, ip, "i-%d" % n, "service-a") for n in range(4)]
    for replica in replicas:
        await replica.start()
    entries = Entries(store, record, ip, ENTRIES, store_addresses=[door.address for door in doors])
    late = []
    outcomes = []

    async def drain(replica, acked):
        """A planned shutdown, and its successor under another id."""
        await asyncio.sleep(max(acked + DRAIN_S + SERVES_LONGER_S - record.now(), 0))
        record.line("replica %s exits" % replica.id)
        replica.exit()

    async def send(number, survivor, ends):
        channel = Channel(record, entries.callers[survivor])
        while record.now() < ends:
            outcomes.append(await channel.ask("POST", "/notices/%d" % number, 2500, body=b"notice"))
            await asyncio.sleep(0.02)
        channel.close()

    try:
        await entries.start_all()
        for episode in range(EPISODES):
            await asyncio.sleep(STEADY_S)
            readers = watchers(doors)
            survivor = next(n for n in range(ENTRIES) if n not in readers)
            dark = [n for n in range(ENTRIES) if n != survivor] if TROUBLE else []
            record.line("entries that read the store: %s; entry-%d goes on" % (readers, survivor))
            leaving = replicas.pop(0)
            successor = Replica(store, record, ip, "i-%d" % (10 + episode), "service-a")
            await successor.start()
            replicas.append(successor)
            await asyncio.sleep(0.8)  # until the entries know the successor
            for n in dark:
                entries.signal(n, signal.SIGSTOP)  # as a loss of power: nothing is sent any more, not even a reset
            leaving.is_draining = True
            leaving.register()
            acked = record.now()
            record.line("the store accepts that replica %s is draining" % leaving.id)
            await asyncio.gather(drain(leaving, acked), *(send(number, survivor, acked + SENT_S) for number in range(4)))
            late += [(leaving.id, survivor, attempt, at - acked) for at, attempt, _ in leaving.runs if at > acked + DRAIN_S + MARGIN_S]
            if dark:
                await asyncio.sleep(max(acked + DARK_S - record.now(), 0))
                for n in dark:
                    entries.kill(n)
                for n in dark:
                    entries.start(n)
                for n in dark:
                    if not await entries.ready(n, 10):
                        raise RuntimeError("entry-%d is not ready again" % n)
    finally:
        entries.stop_all()
    for replica, number, attempt, after in late:
        record.line("entry-%d had replica %s run %s, %.3f s after the store had accepted that it is draining" % (number, replica, attempt, after))
    lost = [each for each in outcomes if each.status not in (200, 429, 503)]
    for each in lost:
        record.line("lost: %s, status %s" % (each.attempt, each.status))
    print("requests that reach a replica later than drainMs: %d%s; notices sent %d, of them neither served nor refused as not run: %d" % (
        len(late), ", the latest after %.3f s" % max(after for *_, after in late) if late else "", len(outcomes), len(lost)))
    if not any(each.status == 200 for each in outcomes):
        raise RuntimeError("no request was served at all")
    return not late


conduct(HERE, test, TROUBLE)

"""The holder of the right to give orders is killed after its orders; who orders next, and how soon?"""

import asyncio
import os
import signal
import sys

HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(HERE, "..", "lib"))
from standins import MODEL, TROUBLE, main  # noqa: E402

LEASE_MS = 3000
ROUNDS = 7


def turns(runner):
    """Returns orders of two holders to one runner within lease_ms."""
    orders = runner.orders
    return [(a, b) for a, b in zip(orders, orders[1:])
            if a[1] != b[1] and (b[0] - a[0]) * 1000 < LEASE_MS]


async def name_weights(site, version):
    await site.store.put("versions", MODEL, {"model": MODEL, "version": version})
    site.record.write("named", version=version)


async def run(site):
    await site.start(daemons=3, runners=2, load_s=0.4)
    await asyncio.sleep(3.5)
    version = 1
    for _ in range(ROUNDS):
        version += 1
        ordered = asyncio.Event()
        seen = {}

        def on_order(runner, order, status, version=version, seen=seen, ordered=ordered):
            if status == 202 and order["version"] == version:
                seen[runner.id] = order["holder"]
            if len(seen) == len(site.runners):
                ordered.set()

        for runner in site.runners:
            runner.on_order = on_order
        await name_weights(site, version)
        await asyncio.wait_for(ordered.wait(), 12)
        holder = next(d for d in site.daemons if d.id == list(seen.values())[-1])
        if TROUBLE:
            holder.signal(signal.SIGKILL)
            await holder.process.wait()
        # The next version is named while the runners load the one before.
        await asyncio.sleep(0.3)
        version += 1
        await name_weights(site, version)
        if TROUBLE:
            await asyncio.sleep(0.7)
            await holder.start()
        for _ in range(150):
            if all(r.version == version for r in site.runners):
                break
            await asyncio.sleep(0.1)
        found = [(r.id, *pair) for r in site.runners for pair in turns(r)]
        for runner, first, second in found:
            site.record.write("turns", runner=runner, first=first[1], second=second[1],
                              apart_ms=round((second[0] - first[0]) * 1000))
        if found:
            return True
        # Whatever the lease is now, it lapses in this time, and the wait after it ends.
        await asyncio.sleep(8.0)
        for daemon in site.daemons:
            await daemon.wait_ready()
    return False


main(run, HERE)

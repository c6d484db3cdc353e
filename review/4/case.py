"""A runner leaves without a word just after a watch was cut off; how long does it get requests?"""

import asyncio
import os
import sys

HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(HERE, "..", "lib"))
from standins import TROUBLE, configuration, encode, main  # noqa: E402

DRAIN_S = 2.0
# "for `drain_ms` after the store has accepted that report and a little longer", and then it exits.
EXIT_S = 2.3
WORK_S = 0.15


async def run(site):
    config = configuration(1, kind="non_idempotent", timeout_ms=5000)
    config["services"][0].pop("engine")
    await site.start(daemons=2, runners=1, config=config)
    runner, arrivals, writers = site.runners[0], [], set()

    async def work(request, _reader, writer):
        number = request.headers["wisteriahitch-request-id"]
        arrivals.append((site.record.now(), number))
        writers.add(writer)
        site.record.write("run", runner=runner.id, request=number)
        await asyncio.sleep(WORK_S)
        site.record.write("run_end", runner=runner.id, request=number)
        return encode(200, b"x" * 800, [("Wisteriahitch-Request-Id", number), ("Wisteriahitch-Server-Stamp", "s")])

    runner.run = work
    await asyncio.sleep(4.5)
    removed = asyncio.Event()
    removed_at = 0.0
    answers = []

    async def client(daemon):
        while not removed.is_set() or site.record.now() < removed_at + 4:
            answers.append(await site.stream(daemon, tokens=1, deadline_ms=1500))
            await asyncio.sleep(0.05)

    clients = [asyncio.create_task(client(daemon)) for daemon in site.daemons]
    await asyncio.sleep(1)
    if TROUBLE:
        site.record.write("cut_off", watches=site.store.cut_watches("servers"), kind="servers")
    await asyncio.sleep(0.6)
    await site.store.delete("servers", runner.id)
    removed_at = site.record.now()
    removed.set()
    site.record.write("removed", runner=runner.id)
    await asyncio.sleep(EXIT_S)
    runner.server.close()
    for writer in writers:
        writer.transport.abort()
    site.record.write("exited", runner=runner.id)
    await asyncio.gather(*clients)
    late = {number: at - removed_at for at, number in arrivals if at > removed_at + DRAIN_S}
    for number, after in late.items():
        outcome = next((str(outcome) for of, outcome, _ in answers if of == number), "none")
        site.record.write("late", request=number, after_removal_s=round(after, 3), answer=outcome.replace(" ", "_"))
    return bool(late)


main(run, HERE)

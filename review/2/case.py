"""A daemon gets SIGTERM; a long stream arrives later on a route whose last streams were short."""

import asyncio
import json
import os
import signal
import sys

HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(HERE, "..", "lib"))
from standins import HOST, TROUBLE, main, read_body, read_head  # noqa: E402

EVENT_MS = 10
SHORT_TOKENS = 40
# 4.6 s at 10 ms a token: sent 3.3 s after the SIGTERM, it would end 7.9 s after it, before grace_s.
LONG_TOKENS = 460
LONG_STREAMS = 4


async def resolve(site, daemon):
    reader, writer = await asyncio.open_connection(daemon.ip, site.base + 3)
    writer.write(f"GET /api/resolve?name={HOST}&region=west&zone=zone-a HTTP/1.1\r\nHost: d\r\n\r\n".encode())
    _, headers = await read_head(reader)
    answer = json.loads(await read_body(reader, headers))
    writer.close()
    return answer


async def run(site):
    await site.start(daemons=2, runners=2, event_ms=EVENT_MS)
    leaving = site.daemons[0]
    await asyncio.sleep(4)
    for _ in range(10):
        await asyncio.gather(*(site.stream(leaving, tokens=SHORT_TOKENS) for _ in range(8)))
    entries = await resolve(site, leaving)
    resolved_at = site.record.now()
    site.record.write("resolved", addrs=",".join(entries["addrs"]), ttl_s=entries["ttl_s"])
    if f"{leaving.callers[0]}:{leaving.callers[1]}" not in entries["addrs"]:
        raise RuntimeError("the daemon isn't listed")
    told_at = site.record.now()
    if TROUBLE:
        leaving.signal(signal.SIGTERM)
    # Some clients keep a response three times as long as it says.
    await asyncio.sleep(told_at + 3.3 - site.record.now())
    if site.record.now() > resolved_at + 3 * entries["ttl_s"]:
        raise RuntimeError("the list has expired")
    sent_at = site.record.now()
    site.record.write("long_streams", after_sigterm_s=round(sent_at - told_at, 3), tokens=LONG_TOKENS)
    answers = await asyncio.gather(*(site.stream(leaving, tokens=LONG_TOKENS) for _ in range(LONG_STREAMS)))
    ended_at = site.record.now()
    if TROUBLE:
        await asyncio.wait_for(leaving.process.wait(), 10)
        site.record.write("exited", code=leaving.process.returncode)
    broken = False
    for number, outcome, events in answers:
        # A refusal is a whole answer, and so is the stream with all of its events.
        whole = isinstance(outcome, int) and (outcome != 200 or events == LONG_TOKENS)
        site.record.write("long", request=number, outcome=str(outcome).replace(" ", "_"), events=events, whole=whole)
        # Cut well before the client's deadline and the route's timeout of 15 s.
        broken |= outcome == "cut within the answer" and ended_at - sent_at < 10
    return broken


main(run, HERE)

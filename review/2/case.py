"""The host that reads the store for the others is cut off from it, and servers are emptied. Do the
other hosts, which still reach the store, send them requests later than drainMs after the ack?"""

import asyncio
import random
import sys
import time
from pathlib import Path

sys.dont_write_bytecode = True
sys.path.insert(0, str(Path(__file__).resolve().parents[1] / "standin"))
import lab  # noqa: E402

HOSTS, SHARDS = 8, 10
PER_HOST_S = 11  # searches over all shards
CUT_S = 5.5
SLACK_S = 0.1  # for the clock of this script
LATE_TO_COUNT = 3


def records(request_id):
    return b"".join(random.randbytes(16) for _ in range(6))


async def case(run):
    await run.start_store()
    shards = [f"portal{n}" for n in range(SHARDS)]
    pairs = []
    for shard in shards:
        pair = [await run.add_server(f"i-{shard}-{n}", shard, slots=2, queue=12, max_connections=26)
                for n in (1, 2)]
        for server in pair:
            server.work_s = lambda method, path: random.uniform(0.005, 0.015)
            server.body = records
            server.pause_s, server.pause_every_s = 0.25, 6.0
            server.pause_phase_s = random.uniform(0, 6)
        pairs.append(pair)
    run.configure(7, [{
        "name": "r-tow", "hostname": "stock.example", "prefix": "/tow/", "routeType": "safe",
        "timeoutMs": 600, "targetLatencyMs": 100, "priority": 0, "fanout": shards,
        "maxAttempts": 2, "topK": 5, "minCoverage": 0.75,
    }], {shard: 26 for shard in shards})
    await run.start_hosts(HOSTS)
    sent = []
    stop = asyncio.Event()

    async def traffic(host):
        while not stop.is_set():
            sent.append(asyncio.create_task(run.send(host, "GET", f"/tow/{len(sent)}", 600, quiet=True)))
            await asyncio.sleep(random.uniform(0.5, 1.5) / PER_HOST_S)

    callers = [asyncio.create_task(traffic(host)) for host in run.hosts]
    await asyncio.sleep(8)  # stableWindowMs, and the hosts know each other
    leaving = [*pairs[0], pairs[1][0]]  # 3 of 20 servers: a share of 0.15
    if lab.TROUBLE:
        reader = max(run.store.polls, key=run.store.polls.get)
        seen = run.store.polls[reader]
        while run.store.polls[reader] == seen:  # its next poll
            await asyncio.sleep(0.005)
        await asyncio.sleep(0.02)
        run.store.cut(reader)
        await asyncio.sleep(0.02)
    for server in leaving:
        server.drain()
    await asyncio.sleep(CUT_S)
    if lab.TROUBLE:
        run.store.heal(reader)
    for server in leaving:
        server.stop()
    await asyncio.sleep(1)
    stop.set()
    await asyncio.gather(*callers)
    answers = {}
    for _, answer in await asyncio.gather(*sent):
        status = answer.status if answer else None
        answers[status] = answers.get(status, 0) + 1
    run.record(f"answers by status: {answers}")
    limit = lab.BOUNDS["drainMs"] / 1000 + SLACK_S
    late = sorted(at - server.drain_acked_at for server in leaving for at, _ in server.arrivals
                  if at - server.drain_acked_at > limit)
    run.record(f"late arrivals, s after the ack: {[round(s, 3) for s in late]}")
    last = max(at - server.drain_acked_at for server in leaving for at, _ in server.arrivals)
    run.record(f"the last arrival at a leaving server: {last:.3f} s after the ack")
    if len(late) >= LATE_TO_COUNT:
        return (f"DRAIN: {len(late)} requests reached leaving servers later than drainMs after the ack, "
                f"the last {late[-1]:.2f} s after it")
    return ""


lab.main(case)

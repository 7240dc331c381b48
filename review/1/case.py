"""A server is emptied while many users come at once. Does it still get requests later than
drainMs after the store has acknowledged its `draining`?"""

import asyncio
import sys
import time
from pathlib import Path

sys.dont_write_bytecode = True
sys.path.insert(0, str(Path(__file__).resolve().parents[1] / "standin"))
import lab  # noqa: E402

WORK_S = 0.8  # hallenwart-app: mean 220 ms, at most 1,300 ms
SERVERS = 6  # one of them leaves: a share of 0.167
USUAL_PER_S = 22.5  # three quarters of what six servers of four slots can do
BURST_X, BURST_S = 2.6, 6.5
DRAIN_AT_S = 5.5  # after the start of the burst
LITTLE_LONGER_S = 2.0  # for which a draining server serves beyond drainMs
SLACK_S = 0.1  # for the clock of this script
LATE_TO_COUNT = 3


async def case(run):
    await run.start_store()
    servers = [await run.add_server(f"i-hall{n}", "hall", slots=4, queue=16, max_connections=12)
               for n in range(1, SERVERS + 1)]
    for server in servers:
        server.work_s = lambda method, path: WORK_S
    run.configure(7, [{
        "name": "r-keeper", "hostname": "stock.example", "prefix": "/keeper/",
        "routeType": "non_idempotent", "timeoutMs": 6000, "targetLatencyMs": 2000,
        "priority": 2, "backend": "hall", "maxAttempts": 2,
    }], {"hall": 12})
    await run.start_hosts(2)
    await asyncio.sleep(5)  # stableWindowMs and the hosts' list of each other
    sent = []

    async def traffic(per_s, for_s):
        until = time.monotonic() + for_s
        number = 0
        while time.monotonic() < until:
            host = run.hosts[len(sent) % 2]
            sent.append(asyncio.create_task(run.send(host, "POST", f"/keeper/{len(sent)}", 6000, b"hall=4")))
            number += 1
            await asyncio.sleep(1 / per_s)

    leaving = servers[0]

    async def leave():
        await asyncio.sleep(4 + DRAIN_AT_S)
        leaving.drain()
        await asyncio.sleep(lab.BOUNDS["drainMs"] / 1000 + LITTLE_LONGER_S)
        leaving.stop()
        run.record(f"server {leaving.id}: exits")

    tasks = []
    if lab.TROUBLE:
        tasks.append(asyncio.create_task(leave()))
    run.record("usual traffic")
    await traffic(USUAL_PER_S, 4)
    run.record("many users come at once" if lab.TROUBLE else "usual traffic goes on")
    await traffic(USUAL_PER_S * (BURST_X if lab.TROUBLE else 1), BURST_S)
    run.record("usual traffic")
    await traffic(USUAL_PER_S, 4)
    results = await asyncio.gather(*sent)
    await asyncio.gather(*tasks)
    answers = {}
    for _, answer in results:
        status = answer.status if answer else None
        answers[status] = answers.get(status, 0) + 1
    run.record(f"answers by status: {answers}")
    runs = [request for server in servers for _, request, _ in server.runs]
    run.record(f"requests that ran twice: {len(runs) - len(set(runs))}")
    if not lab.TROUBLE:
        return "" if answers == {200: len(sent)} else f"not all requests were served: {answers}"
    limit = leaving.drain_acked_at + lab.BOUNDS["drainMs"] / 1000
    late = [at - leaving.drain_acked_at for at, _ in leaving.arrivals if at > limit + SLACK_S]
    cut = [(request, answer.status if answer else None) for request, answer in results
           if request in {request for _, request in leaving.cut_at}]
    run.record(f"late arrivals, s after the ack: {[round(s, 3) for s in late]}")
    run.record(f"requests that ran at the server when it exited, with their answers: {cut}")
    if len(late) >= LATE_TO_COUNT:
        return (f"DRAIN: {len(late)} requests reached {leaving.id} later than drainMs after its ack, "
                f"the last {max(late):.2f} s after it; {len(cut)} of them were lost with the server")
    return ""


lab.main(case)

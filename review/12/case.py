"""FAILBACK: backends that start again under the id that they had.

Exit status: 1 if a cold backend gets more requests in one second than
coldPerS x coldOverage + coldSlack, 0 if none does, 2 if the case could not
run. With TROUBLE=0 they start again under a new id.
"""

import asyncio
import os
import random
import sys
import time

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)),
                                "..", "standins-3"))
from fleet import Backend, Fleet, call_steadily, run_case  # noqa: E402

ZONES = {"upper-hill": 2, "westlands": 2, "industrial-area": 2, "karen": 1}
BACKENDS = 14
SETTLE_S = 5.0
PLAY_S = 80.0
FLOWS_PER_S = 46  # new flows of the clients of a zone, 13 for each backend
COLD_START_S = 2.0
COLD_PER_S, COLD_OVERAGE, COLD_SLACK = 4, 1.5, 5
LIMIT = COLD_PER_S * COLD_OVERAGE + COLD_SLACK
SHARE = 2  # backends that start again together: 0.14 of them
DOWN_S = 0.05  # from the end of a backend to its next start
BETWEEN_S = (1.8, 2.6)  # between two such restarts
HEARTBEAT_S = 1.2
LAG_MAX_S = 0.25  # of this process: it measures wrong times else
TROUBLE = os.environ.get("TROUBLE", "1") != "0"


class ColdBackend(Backend):
    def __init__(self, *arguments, **options):
        super().__init__(*arguments, **options)
        self.born_ms = int(time.time() * 1000) - 60000
        self.requests = []  # (sent, arrived, daemon) in this cold start

    async def restart(self):
        self.stop()
        self.fleet.record("backend", "ends", self.id)
        await asyncio.sleep(DOWN_S)
        if not TROUBLE:
            await self.fleet.store.delete("servers/" + self.id)
            self.id = "i-%010x" % random.getrandbits(40)
            self.tag = int(self.id[2:], 16)
        self.flows, self.sequence, self.requests = {}, 0, []
        self.born_ms = int(time.time() * 1000)
        self.cold_until = time.monotonic() + COLD_START_S
        self.fleet.record("backend", "starts cold", self.id)
        await self.start()
        while time.monotonic() < self.cold_until:
            await asyncio.sleep(HEARTBEAT_S)
            await self.register()

    def worst_second(self):
        """The most requests that were sent and arrived within one second."""
        return max((sum(1 for sent, arrived, _ in self.requests
                        if sent >= begin and arrived <= begin + 1.0)
                    for begin, _, _ in self.requests), default=0)


async def main():
    fleet = Fleet(os.path.join(os.path.dirname(os.path.abspath(__file__)), "record.txt"))
    fleet.more_bounds = {"coldOverage": COLD_OVERAGE, "coldSlack": COLD_SLACK,
                         "evacuateMs": 5000}
    worst = {}
    try:
        for zone, count in ZONES.items():
            for i in range(count):
                fleet.add_daemon("front-%s-%d" % (zone, i + 1), zone)
        await fleet.start_store()
        await fleet.write_config([fleet.make_route("r-stock", 8080, "stock")], ["stock"],
                                 coldStartS=COLD_START_S, coldPerS=COLD_PER_S)
        for i in range(BACKENDS):
            backend = ColdBackend(fleet, i + 10, "stock", list(ZONES)[i % len(ZONES)])
            fleet.backends.append(backend)
            await backend.start()
        for zone in ZONES:
            await fleet.add_client(zone)
        fleet.start_daemons()
        if not await fleet.wait_ready():
            print("the daemons are not ready")
            return 2
        await asyncio.sleep(SETTLE_S)

        def on_taken(backend, packet, sender):
            now = time.monotonic()
            if now >= backend.cold_until:
                return
            backend.requests.append((fleet.sent_at[packet.src, packet.sport], now,
                                     fleet.daemon_names[sender]))
            count = backend.worst_second()
            key = (backend.id, backend.born_ms)
            if count > max(LIMIT, worst.get(key, 0)):
                daemons = [d for _, _, d in backend.requests]
                fleet.record("case", "FAILBACK", backend.id, count, "in a second, from",
                             {d: daemons.count(d) for d in set(daemons)})
            worst[key] = max(count, worst.get(key, 0))

        fleet.on_taken = on_taken
        end = fleet.now() + PLAY_S
        jobs = [asyncio.create_task(call_steadily(fleet, c, FLOWS_PER_S, end))
                for c in fleet.clients]
        turn = 0
        while fleet.now() < end - 6:
            for _ in range(SHARE):
                jobs.append(asyncio.create_task(fleet.backends[turn % BACKENDS].restart()))
                turn += 1
            await asyncio.sleep(random.uniform(*BETWEEN_S))
        await asyncio.gather(*jobs)
        lag_s = fleet.lag_max_s
    finally:
        fleet.close()
    broken = sorted(c for c in worst.values() if c > LIMIT)
    print("%s; %d cold starts, %d with more than %d requests in a second: %s" %
          (fleet.results(), turn, len(broken), LIMIT, broken))
    if lag_s > LAG_MAX_S:
        print("not judged: this process was %.3f s late" % lag_s)
        return 2
    return 1 if broken else 0


run_case(main)

"""A quiet deployment: is any request served?"""

import asyncio
import os
import random

from fleet import Backend, Fleet, call_steadily

ZONES = {"upper-hill": 2, "westlands": 2, "industrial-area": 2, "karen": 1}
BACKENDS = 14
READY_S = 10.0  # traffic starts 10 s after the machines do
PLAY_S = 20.0
FLOWS_PER_S = 10  # new flows of the clients of a zone


def tag_of(backend_id):
    """The number that names a backend in packets: "the hex digits of its `id`,
    read as a big-endian number"."""
    return int("".join(c for c in backend_id if c in "0123456789abcdefABCDEF"), 16)


async def play(record_path, backend_id=None, revision=100):
    """Returns 1 if no request is served, else 0. "backend_id" makes an id out
    of a number; "revision" is the store's when it starts."""
    fleet = Fleet(record_path, revision)
    try:
        for zone, count in ZONES.items():
            for i in range(count):
                fleet.add_daemon("front-%s-%d" % (zone, i + 1), zone)
        await fleet.start_store()
        await fleet.write_config([fleet.make_route("r-live", 8080, "live")], ["live"])
        for i in range(BACKENDS):
            backend = Backend(fleet, i + 10, "live", list(ZONES)[i % len(ZONES)])
            if backend_id is not None:
                backend.id = backend_id(random.getrandbits(40))
                backend.tag = tag_of(backend.id)
            fleet.backends.append(backend)
            await backend.start()
        for zone in ZONES:
            await fleet.add_client(zone)
        fleet.start_daemons()
        ready = await fleet.wait_ready(READY_S)
        fleet.record("case", "all daemons are ready" if ready else "some daemons are not ready")
        if any(d.process.poll() is not None for d in fleet.daemons):
            print("a daemon has ended")
            return 2
        end = fleet.now() + PLAY_S
        await asyncio.gather(*(call_steadily(fleet, c, FLOWS_PER_S, end)
                               for c in fleet.clients))
        results = fleet.results()
    finally:
        fleet.close()
    print("ready: %s; requests: %s" % (ready, results))
    return 1 if results.get("answered", 0) == 0 else 0


def record_path(case_file):
    return os.path.join(os.path.dirname(os.path.abspath(case_file)), "record.txt")

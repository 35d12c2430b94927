"""Stand-ins for the platform's store, its routers, backends and clients.

They follow PROTOCOL.md. Everything runs in one process on one event loop;
only the daemons are separate processes. All addresses are loopback addresses
of a network that is drawn for each run.
"""

import asyncio
import base64
import hashlib
import json
import os
import random
import shutil
import signal
import socket
import struct
import subprocess
import sys
import tempfile
import time
import urllib.parse

HEAD = struct.Struct(">HIHIIHBIII")
SYN, FIN, RST, ACK = 2, 4, 16, 32
ROOT = os.path.dirname(os.path.dirname(os.path.dirname(os.path.abspath(__file__))))
PROGRAM = ["target/src/pimentohaven", "forward"]  # "run" of deploy/system.toml


def pack_addr(text):
    return struct.unpack(">I", socket.inet_aton(text))[0]


def text_addr(number):
    return socket.inet_ntoa(struct.pack(">I", number))


class Packet:
    def __init__(self, src, sport, dst, dport, echo=0, flags=0, seq=0, ack=0, data=b""):
        self.src, self.sport, self.dst, self.dport = src, sport, dst, dport
        self.echo, self.flags = echo, flags
        self.seq, self.ack, self.data = seq & 0xFFFFFFFF, ack & 0xFFFFFFFF, data

    def encode(self):
        # The sum of an end's own packet is never 0, which marks the system's resets.
        return HEAD.pack(self.dport, self.dst, self.sport, self.src, self.echo,
                         len(self.data), self.flags, self.seq, self.ack, 1) + self.data

    @staticmethod
    def decode(raw):
        if len(raw) < HEAD.size:
            return None
        dport, dst, sport, src, echo, size, flags, seq, ack, total = HEAD.unpack_from(raw)
        if size != len(raw) - HEAD.size:
            return None
        packet = Packet(src, sport, dst, dport, echo, flags, seq, ack, raw[HEAD.size:])
        packet.total = total
        return packet


class Store:
    """The platform's metadata store. It keeps its history for historyS."""

    LATENCY_S = 0.004
    HISTORY_S = 20.0

    def __init__(self, fleet, revision=100):
        self.fleet = fleet
        self.revision = revision  # of the last change
        self.items = {}
        self.history = []  # (time, revision, event)
        self.dropped_to = self.revision
        self.changed = asyncio.Condition()
        self.watching = {}  # address that was called -> number of waiting watches

    async def write(self, puts=(), deletes=()):
        self.revision += 1
        now = time.monotonic()
        for key, value in puts:
            old = self.items.get(key)
            item = {"key": key, "value": base64.b64encode(value).decode(),
                    "revision": self.revision, "lease": 0,
                    "created": old["created"] if old else self.revision}
            self.items[key] = item
            self.history.append((now, self.revision, item))
        for key in deletes:
            if self.items.pop(key, None) is not None:
                self.history.append((now, self.revision, {
                    "key": key, "revision": self.revision, "tombstone": True}))
        while self.history and self.history[0][0] < now - self.HISTORY_S:
            self.dropped_to = self.history.pop(0)[1]
        async with self.changed:
            self.changed.notify_all()
        return self.revision

    async def put(self, key, value):
        revision = await self.write([(key, json.dumps(value).encode())])
        await asyncio.sleep(self.LATENCY_S / 2)
        return revision

    async def delete(self, key):
        return await self.write(deletes=[key])

    def events_after(self, prefix, after):
        return [e for _, r, e in self.history
                if r > after and e["key"].startswith(prefix)]

    async def answer(self, method, target, body, address):
        url = urllib.parse.urlsplit(target)
        query = {k: v[0] for k, v in urllib.parse.parse_qs(
            url.query, keep_blank_values=True).items()}
        if url.path == "/api/kv-key":
            item = self.items.get(query["key"])
            return (404, {"asOf": self.revision}) if item is None else \
                (200, dict(item, asOf=self.revision))
        if url.path == "/api/kv-range":
            keys = sorted(k for k in self.items if k.startswith(query["prefix"])
                          and k > query.get("after", ""))
            return 200, {"items": [self.items[k] for k in keys[:500]],
                         "hasMore": len(keys) > 500, "asOf": self.revision}
        if url.path == "/api/kv-watch":
            return await self.watch(query, address)
        if url.path == "/api/kv-txn" and method == "POST":
            call = json.loads(body)
            for row in call.get("expected", []):
                item = self.items.get(row["key"])
                if (item["revision"] if item else 0) != row["revision"]:
                    return 412, {"items": [self.items[r["key"]] for r in call["expected"]
                                           if r["key"] in self.items]}
            revision = await self.write(
                [(p["key"], base64.b64decode(p["value"])) for p in call.get("puts", [])],
                call.get("delete", []))
            return 200, {"revision": revision}
        return 404, {}

    async def watch(self, query, address):
        after, prefix = int(query["after"]), query.get("prefix", "")
        until = time.monotonic() + min(int(query["waitMs"]), 30000) / 1000
        self.watching[address] = self.watching.get(address, 0) + 1
        try:
            while True:
                if after < self.dropped_to:
                    return 410, {}
                events = self.events_after(prefix, after)
                left = until - time.monotonic()
                if events or left <= 0:
                    return 200, {"events": events, "asOf": max(after, self.revision)}
                try:
                    async with self.changed:
                        await asyncio.wait_for(self.changed.wait(), left)
                except asyncio.TimeoutError:
                    pass
        finally:
            self.watching[address] -= 1

    async def serve(self, reader, writer):
        address = writer.get_extra_info("sockname")[0]
        try:
            method, target, _ = (await reader.readline()).decode().split(" ", 2)
            size = 0
            while True:
                line = (await reader.readline()).decode().strip().lower()
                if not line:
                    break
                if line.startswith("content-length:"):
                    size = int(line.split(":")[1])
            body = await reader.readexactly(size)
            await asyncio.sleep(self.LATENCY_S / 2)
            status, answer = await self.answer(method, target, body, address)
            await asyncio.sleep(self.LATENCY_S / 2)
            text = json.dumps(answer).encode()
            writer.write(b"HTTP/1.1 %d -\r\nContent-Type: application/json\r\n"
                         b"Content-Length: %d\r\nConnection: close\r\n\r\n" %
                         (status, len(text)) + text)
            await writer.drain()
        except (ConnectionError, ValueError, asyncio.IncompleteReadError,
                asyncio.CancelledError):
            pass
        finally:
            writer.close()


class BackendFlow:
    def __init__(self, seq, ack, echo):
        self.seq, self.ack, self.echo = seq, ack, echo  # of the next packet
        self.open = self.ended = False


class Backend(asyncio.DatagramProtocol):
    """A backend in the form "echo", of the service and zone given."""

    def __init__(self, fleet, number, service, zone, work_s=0.01):
        self.fleet, self.service, self.zone, self.work_s = fleet, service, zone, work_s
        self.id = "i-%010x" % random.getrandbits(40)
        self.tag = int(self.id[2:], 16)
        self.address = fleet.net + ".2.%d" % number
        self.flows, self.sequence, self.draining_at = {}, 0, None
        self.born_ms = None  # of deployments that have the field "born"
        self.cold_until = 0.0

    def cold_left_ms(self):
        return max(0, int((self.cold_until - time.monotonic()) * 1000))

    async def start(self):
        loop = asyncio.get_running_loop()
        self.transport, _ = await loop.create_datagram_endpoint(
            lambda: self, local_addr=(self.address, self.fleet.backend_port))
        self.server = await asyncio.start_server(
            self.health, self.address, self.fleet.backend_port)
        await self.register()

    async def health(self, reader, writer):
        try:
            await reader.readline()
            status = b"503 -" if self.draining_at else b"200 OK"
            writer.write(b"HTTP/1.1 " + status + b"\r\nContent-Length: 0\r\n\r\n")
            await writer.drain()
        except ConnectionError:
            pass
        finally:
            writer.close()

    async def register(self, state="ready"):
        self.sequence += 1
        entry = {
            "service": self.service,
            "address": "%s:%d" % (self.address, self.fleet.backend_port),
            "zone": self.zone, "version": "v1", "slots": 2, "state": state,
            "coldLeftMs": self.cold_left_ms(), "sequence": self.sequence}
        if self.born_ms is not None:
            entry["born"] = self.born_ms
        revision = await self.fleet.store.put("servers/" + self.id, entry)
        self.fleet.record("store", "accepted", self.id, state, revision)

    async def drain(self):
        await self.register("draining")
        self.draining_at = time.monotonic()

    def stop(self):
        self.transport.close()
        self.server.close()

    def send(self, flow, packet, flags, data=b""):
        out = Packet(packet.dst, packet.dport, packet.src, packet.sport, flow.echo,
                     flags, flow.seq, flow.ack, data)
        self.transport.sendto(out.encode(), (text_addr(packet.src), self.fleet.port))
        return out

    def reset(self, packet):
        out = Packet(packet.dst, packet.dport, packet.src, packet.sport, packet.echo,
                     RST, packet.ack)
        self.transport.sendto(out.encode(), (text_addr(packet.src), self.fleet.port))
        self.fleet.record("backend", "resets", self.id, packet.sport)

    def datagram_received(self, raw, sender):
        packet = Packet.decode(raw[8:])
        tag = int.from_bytes(raw[:8], "big")
        if packet is None or tag not in (0, self.tag):
            return
        key = (packet.src, packet.sport, packet.dst, packet.dport)
        flow = self.flows.get(key)
        if packet.flags & SYN:
            self.on_opening(key, flow, packet, sender)
            return
        if packet.flags & RST:
            self.flows.pop(key, None)
            return
        if flow is None or (not flow.open and packet.ack != flow.seq):
            self.reset(packet)
            return
        flow.echo = packet.echo
        if not flow.open:
            flow.open = True
            self.fleet.record("backend", "open", self.id, packet.sport)
        if packet.data and packet.seq == flow.ack:
            flow.ack = (flow.ack + len(packet.data)) & 0xFFFFFFFF
            asyncio.get_running_loop().call_later(
                self.work_s, self.respond, flow, packet)
        if packet.flags & FIN and not flow.ended:
            flow.ended = True
            flow.ack = (packet.seq + len(packet.data) + 1) & 0xFFFFFFFF
            self.send(flow, packet, FIN | ACK)

    def on_opening(self, key, flow, packet, sender):
        if flow is None or flow.ended:
            flow = BackendFlow(random.getrandbits(32), packet.seq + 1, packet.echo)
            self.flows[key] = flow
            since = "" if self.draining_at is None else \
                "%.0f ms after draining" % ((time.monotonic() - self.draining_at) * 1000)
            daemon = self.fleet.daemon_names.get(sender[0], sender[0])
            self.fleet.record("backend", "takes", self.id, packet.sport, "from", daemon, since)
            self.fleet.on_taken(self, packet, sender[0])
        out = Packet(packet.dst, packet.dport, packet.src, packet.sport, flow.echo,
                     SYN | ACK, flow.seq - 1, flow.ack)
        self.transport.sendto(out.encode(), (text_addr(packet.src), self.fleet.port))

    def respond(self, flow, packet):
        if not self.transport.is_closing():
            out = self.send(flow, packet, ACK, b"answer")
            flow.seq = (flow.seq + len(out.data)) & 0xFFFFFFFF


class Client(asyncio.DatagramProtocol):
    """All clients of a zone. Each flow carries one request."""

    def __init__(self, fleet, zone, number):
        self.fleet, self.zone = fleet, zone
        self.address = fleet.net + ".1.%d" % number
        self.flows, self.next_port = {}, 20000
        self.results = {}

    async def start(self):
        loop = asyncio.get_running_loop()
        self.transport, _ = await loop.create_datagram_endpoint(
            lambda: self, local_addr=(self.address, self.fleet.port))

    def send(self, port, flags, seq, ack, echo=0, data=b""):
        src, dst = pack_addr(self.address), pack_addr(self.fleet.route)
        packet = Packet(src, port, dst, self.fleet.route_port, echo, flags, seq, ack, data)
        daemon = self.fleet.route_packet(self.zone, (src, port, dst, self.fleet.route_port))
        if daemon is not None:
            self.transport.sendto(packet.encode(), (daemon.address, self.fleet.port))

    async def request(self):
        """Opens a flow, sends a request, awaits its answer and closes."""
        port = self.next_port
        self.next_port = 20000 + (self.next_port - 19999) % 40000
        queue, seq = asyncio.Queue(), random.getrandbits(32)
        self.flows[port] = queue
        self.fleet.sent_at[pack_addr(self.address), port] = time.monotonic()
        self.fleet.record("client", "sends", self.zone, port)
        try:
            result = await self.exchange(port, queue, seq)
        finally:
            del self.flows[port]
        self.results[result] = self.results.get(result, 0) + 1
        self.fleet.record("client", result, self.zone, port)

    async def exchange(self, port, queue, seq):
        started, answer = time.monotonic(), None
        for copy, wait_until in ((0, 0.2), (1, 0.6), (2, 1.4)):
            self.send(port, SYN, seq, copy)
            answer = await self.receive(queue, started + wait_until)
            if answer is not None:
                break
        if answer is None or answer.flags & RST:
            return "refused" if answer else "unanswered"
        seq, ack = (seq + 1) & 0xFFFFFFFF, (answer.seq + 1) & 0xFFFFFFFF
        echo = answer.echo
        for wait_s in (0.2, 0.4, 0.8):
            self.send(port, ACK, seq, ack, echo, b"request")
            answer = await self.receive(queue, time.monotonic() + wait_s)
            while answer is not None and answer.flags & SYN:
                echo = answer.echo
                answer = await self.receive(queue, time.monotonic() + wait_s)
            if answer is not None:
                break
        if answer is None:
            return "deadline"
        if answer.flags & RST:
            return "reset by the system" if answer.total == 0 else "reset by a backend"
        ack = (answer.seq + len(answer.data)) & 0xFFFFFFFF
        self.send(port, FIN | ACK, seq + len(b"request"), ack, answer.echo)
        return "answered"

    @staticmethod
    async def receive(queue, until):
        try:
            return await asyncio.wait_for(queue.get(), max(until - time.monotonic(), 0.001))
        except asyncio.TimeoutError:
            return None

    def datagram_received(self, raw, sender):
        packet = Packet.decode(raw)
        if packet is not None and packet.dport in self.flows:
            self.flows[packet.dport].put_nowait(packet)


class Daemon:
    def __init__(self, fleet, name, zone, number):
        self.fleet, self.name, self.zone = fleet, name, zone
        self.address = fleet.net + ".0.%d" % number
        self.store_address = fleet.net + ".3.%d" % number
        self.process, self.in_rotation, self.misses = None, False, 0

    def settings(self, seeds, zones, bootstrap=True):
        return {
            "nodeName": self.name, "role": "balancer", "machineClass": "front",
            "serves": ["front", "control"], "ip": self.address, "zone": self.zone,
            "region": "nairobi", "zones": {z: "nairobi" for z in zones},
            "listen": {"datagramAddr": "%s:%d" % (self.address, self.fleet.port),
                       "ready": "%s:8167" % self.address,
                       "control": "%s:8166" % self.address},
            "internalPorts": [7720, 7735], "seeds": [s + ":8166" for s in seeds],
            "bootstrap": bootstrap, "countsAsLoss": False,
            "limits": {"cpuShare": 0.25, "cores": 1, "memoryMb": 260, "maxFds": 4100,
                       "linkMbps": 1000.0, "diskMb": 0},
            "dataDir": None, "discovery": "platform", "entryMode": "announce",
            "heartbeatMs": 1200,
            "contracts": ["base", "drain", "config", "cost", "recover", "flows", "platform"],
            "faultTolerance": {"machines": 2, "zones": 1, "regions": 0},
            "bounds": {"seedLagS": 3, "addrReuseS": 2, "stableWindowMs": 4000,
                       "ackMs": 5000, "catchUpS": 4, "drainMs": 3000, "graceS": 6,
                       "lossSlackMs": 200, "configApplyMs": 3000,
                       "downgradeSlackMs": 250, "maxStretchMs": 12000, "recoveryS": 12,
                       "reorderMs": 2000, "maxFlowS": 60, **self.fleet.more_bounds},
            "hash": "steady", "forwardingMode": "echo",
            "platform": {"address": "%s:8169" % self.store_address,
                         "forwardingMode": "kv", "writesPerS": 400, "readsPerS": 2000,
                         "historyS": 20, "valueBytes": 1048576, "minTtlMs": 1000}}

    def start(self, seeds, zones):
        path = os.path.join(self.fleet.folder, self.name + ".json")
        with open(path, "w", encoding="utf-8") as file:
            json.dump(self.settings(seeds, zones), file)
        log = open(os.path.join(self.fleet.folder, self.name + ".log"), "ab")
        environment = {k: os.environ[k] for k in ("PATH", "HOME", "LANG") if k in os.environ}
        environment["PIMENTOHAVEN_BOOT"] = path
        self.process = subprocess.Popen(PROGRAM, cwd=ROOT, env=environment,
                                        stdout=log, stderr=log)
        log.close()
        self.fleet.record("platform", "starts", self.name)

    def signal(self, number):
        self.process.send_signal(number)
        self.fleet.record("platform", signal.Signals(number).name, self.name)

    async def probe(self):
        try:
            reader, writer = await asyncio.wait_for(
                asyncio.open_connection(self.address, 8167), 0.5)
            try:
                writer.write(b"GET /api/readiness HTTP/1.1\r\nHost: x\r\n"
                             b"Connection: close\r\n\r\n")
                line = await asyncio.wait_for(reader.readline(), 0.5)
            finally:
                writer.close()
            return b" 200 " in line
        except (OSError, asyncio.TimeoutError):
            return False

    async def watch_readiness(self):
        while True:
            began = time.monotonic()
            if await self.probe():
                self.misses, self.in_rotation = 0, True
            else:
                self.misses += 1
                if self.misses >= 2:
                    self.in_rotation = False
            await asyncio.sleep(max(0.5 - (time.monotonic() - began), 0.05))


def reserve_network():
    """Draws a network of loopback addresses that no other run uses. The socket
    returned reserves it."""
    while True:
        net = "127.%d" % random.randint(20, 250)
        lock = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        try:
            lock.bind((net + ".255.1", 8172))
            return net, lock
        except OSError:
            lock.close()


class Fleet:
    all = []

    def __init__(self, record_path, revision=100):
        Fleet.all.append(self)
        self.net, self.lock = reserve_network()
        self.port, self.backend_port = 8172, 8080
        self.route, self.route_port = self.net + ".9.1", 8080
        self.folder = tempfile.mkdtemp(prefix="review-")
        self.file = open(record_path, "w", encoding="utf-8")
        self.began = time.monotonic()
        self.store = Store(self, revision)
        self.daemons, self.backends, self.clients = [], [], []
        self.daemon_names, self.servers, self.tasks = {}, [], []
        self.on_taken = lambda backend, packet, sender: None
        self.version = 0
        self.lag_max_s = 0.0
        self.sent_at = {}  # address and port of a client -> start of the request
        self.more_bounds = {}  # in the settings, besides the usual ones

    async def watch_lag(self):
        """Notes how late this process is, as it then measures wrong times."""
        while True:
            began = time.monotonic()
            await asyncio.sleep(0.01)
            self.lag_max_s = max(self.lag_max_s, time.monotonic() - began - 0.01)

    def now(self):
        return time.monotonic() - self.began

    def record(self, *words):
        if self.file.closed:
            return
        self.file.write("%9.4f %s\n" % (self.now(), " ".join(str(w) for w in words if w != "")))

    async def start_store(self):
        for daemon in self.daemons:
            self.servers.append(await asyncio.start_server(
                self.store.serve, daemon.store_address, 8169))

    def add_daemon(self, name, zone):
        daemon = Daemon(self, name, zone, len(self.daemons) + 10)
        self.daemons.append(daemon)
        self.daemon_names[daemon.address] = name
        return daemon

    def start_daemons(self):
        self.tasks.append(asyncio.create_task(self.watch_lag()))
        self.zones = list(dict.fromkeys(d.zone for d in self.daemons))
        for daemon in self.daemons:
            daemon.start([d.address for d in self.daemons[:3]], self.zones)
            self.tasks.append(asyncio.create_task(daemon.watch_readiness()))

    async def add_backend(self, service, zone, **options):
        backend = Backend(self, len(self.backends) + 10, service, zone, **options)
        self.backends.append(backend)
        await backend.start()
        return backend

    async def add_client(self, zone):
        client = Client(self, zone, len(self.clients) + 10)
        self.clients.append(client)
        await client.start()
        return client

    async def write_config(self, routes, services, **more):
        """"more" holds further fields of the services."""
        self.version += 1
        revision = await self.store.put("op/config", {
            "version": self.version, "routes": routes,
            "services": [dict(name=s, healthPath="/health", maxConns=2000,
                              protocol="h1", tls=False, **more) for s in services],
            "limits": {"maxHeaderBytes": 16384, "maxBodyBytes": 262144,
                       "headerTimeoutMs": 3000, "idleTimeoutMs": 15000}})
        self.record("store", "accepted", "configuration", self.version, revision)

    def make_route(self, name, port, service, kind="safe"):
        return {"name": name, "host": self.route, "prefix": "/%d/" % port, "kind": kind,
                "timeoutMs": 3000, "targetLatencyMs": 500, "priority": 2,
                "service": service, "maxAttempts": 2}

    def route_packet(self, zone, addresses):
        """The router's choice: a hash over the daemons in rotation in the zone."""
        local = [d for d in self.daemons if d.zone == zone]
        ready = [d for d in local if d.in_rotation]
        if ready and 2 * len(ready) < len(local):
            ready = local
        ready = ready or [d for d in self.daemons if d.in_rotation] or local
        return max(ready, default=None, key=lambda d: hashlib.md5(
            repr((addresses, d.address)).encode()).digest())

    async def wait_ready(self, seconds=10):
        until = time.monotonic() + seconds
        while not all(d.in_rotation for d in self.daemons):
            if time.monotonic() > until:
                return False
            await asyncio.sleep(0.05)
        return True

    def watcher(self):
        """The daemon whose watch waits at the store, None if not exactly one does."""
        found = [d for d in self.daemons if self.store.watching.get(d.store_address, 0) > 0]
        return found[0] if len(found) == 1 else None

    def was_paused(self, daemon):
        """Whether a daemon says that it stood still."""
        with open(os.path.join(self.folder, daemon.name + ".log"), encoding="utf-8") as log:
            return any("paused for" in line for line in log)

    def results(self):
        total = {}
        for client in self.clients:
            for result, count in client.results.items():
                total[result] = total.get(result, 0) + count
        return total

    def close(self):
        if self.file.closed:
            return
        for task in self.tasks:
            task.cancel()
        for daemon in self.daemons:
            if daemon.process is not None and daemon.process.poll() is None:
                daemon.process.send_signal(signal.SIGCONT)
                daemon.process.kill()
                daemon.process.wait()
        self.file.close()
        self.lock.close()
        if os.environ.get("KEEP") != "1":
            shutil.rmtree(self.folder, ignore_errors=True)


async def call_steadily(fleet, client, per_s, until):
    """Has a client open flows at a mean rate until a time of the fleet."""
    tasks = []
    while fleet.now() < until:
        tasks.append(asyncio.create_task(client.request()))
        await asyncio.sleep(random.expovariate(per_s))
    await asyncio.gather(*tasks)


def end_process(status):
    """Ends at once: tasks that are left over must not keep the process."""
    sys.stdout.flush()
    os._exit(status)


def stop_all(number, frame):
    for fleet in Fleet.all:
        fleet.close()
    end_process(2)


def run_case(main, limit_s=110):
    """Runs a case, which returns its exit status. An error of the case itself
    is no result."""
    async def limited():
        try:
            status = await asyncio.wait_for(main(), limit_s)
        except Exception as error:  # pylint: disable=broad-except
            print("the case could not run: %r" % error)
            status = 2
        end_process(status)

    signal.signal(signal.SIGTERM, stop_all)
    signal.signal(signal.SIGALRM, stop_all)
    signal.alarm(limit_s + 6)
    asyncio.run(limited())

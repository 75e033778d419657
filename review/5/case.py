"""Two machines are added to a deployment of five, and later one machine is removed. Nothing else happens."""

import asyncio
import json
import os
import sys
import tempfile
import time

HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(HERE, "..", "lib2"))
from standins import Router, Store, call, configuration, read_body, read_head

TROUBLE = os.environ.get("TROUBLE", "1") != "0"
FIRST = ["scl-a-1", "scl-a-2", "scl-b-1", "scl-b-2", "scl-c-1"]
ADDED = ["scl-a-3", "scl-c-2"]
REMOVED = "scl-a-1"
PREPAID = 500_000_000
# Time without any work on the deployment before requests are judged, and time for which they are.
STABLE_WINDOW_S, WATCHED_S = 3.0, 8.0
PIECES, PAUSE_MS, TOKENS = 8, 30, (400, 64)

record = open(os.path.join(HERE, "record.txt"), "w")
began = time.monotonic()


def now():
    return time.monotonic() - began


def note(*words):
    print(f"{now():8.3f}", *words, file=record, flush=True)


class Fleet:
    def __init__(self, folder):
        self.folder, self.store = folder, Store()
        self.routers, self.leaving, self.tasks, self.results, self.runs = {}, set(), [], [], set()
        self.numbers, self.is_over = {}, False

    async def start(self):
        await self.store.start()
        for n in range(3):
            serve = lambda reader, writer, n=n: self.serve(reader, writer, n)
            server = await asyncio.start_server(serve, "127.0.0.1", 0)
            asyncio.create_task(self.beat(n, server.sockets[0].getsockname()[1]))
        config = configuration(7, ["k1"], PREPAID)
        self.store.put("op/config", json.dumps(config).encode())
        return all(await asyncio.gather(*(self.add(name) for name in FIRST)))

    async def add(self, name):
        """Starts a machine's router, and its clients once it is ready; returns whether it is."""
        zone = name[:-2]
        router = Router(self.folder, f"frontend-{name}", zone, self.store.port)
        await router.start()
        if not await router.wait_ready():
            return False
        note("ready", router.name)
        self.numbers[router.name] = len(self.numbers) + 1
        self.routers[router.name] = router
        self.tasks.append(asyncio.create_task(self.clients(router.name)))
        return True

    async def remove(self, name):
        """Stops a machine for good: SIGTERM, and SIGKILL behind the grace period."""
        router = self.routers[name]
        note("SIGTERM to", name, "which is removed")
        self.leaving.add(name)
        router.process.terminate()
        try:
            await asyncio.wait_for(router.process.wait(), 8)
        except asyncio.TimeoutError:
            router.end()
        note("ended", name)

    async def beat(self, n, port):
        """A server's entry, written every 1.2 s."""
        sequence = 0
        while True:
            sequence += 1
            entry = {"service": "lm", "address": f"127.0.0.1:{port}", "zone": "scl-a", "version": "v1",
                     "slots": 64, "state": "ready", "cold_remaining_ms": 0, "sequence": sequence}
            self.store.put(f"servers/i-{n}", json.dumps(entry).encode())
            await asyncio.sleep(1.2)

    async def serve(self, reader, writer, n):
        """A server: it answers each request with a stream of events in chunks."""
        try:
            while True:
                head = await read_head(reader)
                if head is None:
                    return
                headers = head[1]
                await read_body(reader, headers)
                attempt = headers.get("x-attempt-id", "")
                self.runs.add(attempt)
                writer.write(f"HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n"
                             f"X-Attempt-Id: {attempt}\r\nX-Server-Stamp: i-{n}.{attempt}\r\n"
                             "Transfer-Encoding: chunked\r\n\r\n".encode())
                for piece in range(1, PIECES + 1):
                    await asyncio.sleep(PAUSE_MS / 1000)
                    event = f"id: {piece}\ndata: {piece} of {PIECES}\n\n".encode()
                    writer.write(b"%x\r\n%s\r\n" % (len(event), event))
                    await writer.drain()
                writer.write(b"0\r\n\r\n")
                await writer.drain()
        except (ConnectionError, asyncio.IncompleteReadError):
            pass
        finally:
            writer.close()

    def role(self, name):
        """The role that a router logged last."""
        with open(self.routers[name].log) as log:
            roles = [line.split("role=")[1].split()[0] for line in log if "Role. role=" in line]
        return roles[-1] if roles else "follower"

    def relays(self, zone=None):
        names = [n for n in self.routers if n not in self.leaving and self.role(n) == "relay"]
        return [n for n in names if zone is None or f"-{zone}-" in n]

    async def clients(self, name):
        """Clients of one router, each with a new connection, five a second."""
        n, tasks = 0, []
        while not self.is_over and name not in self.leaving:
            n += 1
            tasks.append(asyncio.create_task(self.client(name, f"{self.numbers[name]:04x}{n:012x}")))
            await asyncio.sleep(0.2)
        await asyncio.gather(*tasks)

    async def client(self, name, attempt):
        sent = now()
        answer = await call(self.routers[name].frontend, "/draft/x", attempt, tokens=TOKENS)
        reason = answer.body.decode("latin-1")[:60] if answer.status != 200 else ""
        if answer.status != 200:
            note("client of", name, attempt, "sent at", f"{sent:.3f}", "got", answer.status, reason)
        self.results.append((sent, name, attempt, answer))

    async def wait_for(self, seconds, condition):
        until = now() + seconds
        while now() < until:
            if condition():
                return True
            await asyncio.sleep(0.1)
        return False


async def play(folder):
    """Returns the fleet and the time from which requests are judged, or None."""
    fleet = Fleet(folder)
    try:
        if not await fleet.start():
            note("a router did not get ready")
            return None
        await fleet.wait_for(10, lambda: len(fleet.relays()) == len(FIRST))
        await asyncio.sleep(2)
        note("relays at the start:", *fleet.relays())
        if TROUBLE:
            for name in ADDED:
                if not await fleet.add(name):
                    return None
                await fleet.wait_for(8, lambda: fleet.role(f"frontend-{name}") == "relay")
            note("relays with the added machines:", *fleet.relays())
            # One of seven relays is not needed, and gives up that role after ten seconds.
            await fleet.wait_for(25, lambda: len(fleet.relays()) == 6)
            await asyncio.sleep(5)
            note("relays before the removal:", *fleet.relays())
            await fleet.remove(f"frontend-{REMOVED}")
            # Another router takes the role of the removed one after six seconds.
            await fleet.wait_for(12, lambda: len(fleet.relays()) == 6)
        else:
            await asyncio.sleep(30)
        ended = now()
        await asyncio.sleep(STABLE_WINDOW_S + WATCHED_S)
        note("relays at the end:", *fleet.relays())
        fleet.is_over = True
        await asyncio.gather(*fleet.tasks)
        for name in fleet.routers:
            with open(fleet.routers[name].log) as log:
                for line in log:
                    if "Role. role=" in line or "Retiring" in line or "panick" in line:
                        note("log of", name, line.strip())
        return fleet, ended + STABLE_WINDOW_S
    finally:
        for router in fleet.routers.values():
            router.end()


async def main():
    asyncio.get_running_loop().set_exception_handler(lambda *_: None)
    with tempfile.TemporaryDirectory() as folder:
        try:
            played = await asyncio.wait_for(play(folder), 112)
        except (OSError, asyncio.TimeoutError) as e:
            note("the case could not run:", repr(e))
            return 2
    if played is None:
        return 2
    fleet, in_touch_from = played
    served = [r for r in fleet.results if r[3].status == 200 and r[3].complete]
    # The tenant's whole consumption, each request at its most, is a small part of what it prepaid.
    used = len(fleet.results) * sum(TOKENS)
    denied = [r for r in fleet.results if r[3].status in (401, 402, 403, 404)]
    late = [r for r in denied if r[0] >= in_touch_from]
    most = 5 + len(fleet.results) / 500
    note("requests", len(fleet.results), "served", len(served), "denied with a 4xx", len(denied),
         "of these", STABLE_WINDOW_S, "s or more after any work on the deployment:", len(late),
         "allowed", f"{most:.1f}", "; at most", used, "tokens of", PREPAID)
    for name in fleet.routers:
        mine = [r for r in fleet.results if r[1] == name and r[0] >= in_touch_from]
        note("since then", name, {s: sum(r[3].status == s for r in mine) for s in {r[3].status for r in mine}})
    if len(late) > most:
        note("BROKEN: DENIED")
        return 1
    return 0 if TROUBLE or len(served) == len(fleet.results) else 2


code = asyncio.run(main())
print({0: "held", 1: "broken", 2: "could not run"}[code])
sys.exit(code)

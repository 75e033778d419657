"""Stand-ins of the platform's store, of servers and of the network, for one case of the review.

They speak the published protocol on loopback addresses. Only the standard library is used.
"""

import asyncio
import base64
import json
import os
import random
import socket
import time
import urllib.parse


given_ports = set()


def free_port():
    """Returns a port that is free now, and that no outgoing connection takes while its owner restarts."""
    while True:
        port = random.randrange(15000, 32000)
        if port in given_ports:
            continue
        given_ports.add(port)
        with socket.socket() as s:
            try:
                s.bind(("127.0.0.1", port))
                return port
            except OSError:
                pass


async def read_head(reader):
    """Reads a head; returns the first line and the headers, or None at the end of the connection."""
    try:
        raw = await reader.readuntil(b"\r\n\r\n")
    except (asyncio.IncompleteReadError, ConnectionError):
        return None
    lines = raw.decode("latin-1").split("\r\n")
    headers = {}
    for line in lines[1:]:
        if ":" in line:
            name, value = line.split(":", 1)
            headers[name.strip().lower()] = value.strip()
    return lines[0], headers


async def read_body(reader, headers):
    """Reads a body with a length or in chunks."""
    if headers.get("transfer-encoding", "").lower() == "chunked":
        body = b""
        while True:
            size = int((await reader.readline()).split(b";")[0], 16)
            data = await reader.readexactly(size + 2)
            if size == 0:
                return body
            body += data[:-2]
    return await reader.readexactly(int(headers.get("content-length", 0)))


class Store:
    """The platform's key-value store: keys, ranges, watches and conditional writes."""

    def __init__(self):
        self.revision = 100
        self.items = {}
        self.history = []
        self.changed = asyncio.Event()
        self.port = None

    async def start(self):
        server = await asyncio.start_server(self.serve, "127.0.0.1", 0)
        self.port = server.sockets[0].getsockname()[1]

    def put(self, key, value):
        self.revision += 1
        created = self.items[key]["created"] if key in self.items else self.revision
        text = base64.b64encode(value).decode()
        item = {"key": key, "value": text, "revision": self.revision, "created": created, "lease": 0}
        self.items[key] = item
        self.note(item)

    def remove(self, key):
        if self.items.pop(key, None):
            self.revision += 1
            self.note({"key": key, "revision": self.revision, "deleted": True})

    def note(self, event):
        self.history.append(event)
        self.changed.set()
        self.changed = asyncio.Event()

    async def serve(self, reader, writer):
        try:
            while True:
                head = await read_head(reader)
                if head is None:
                    break
                method, target, _ = head[0].split(" ")
                body = await read_body(reader, head[1])
                await asyncio.sleep(0.004)
                status, answer = await self.answer(method, target, body)
                data = json.dumps(answer).encode()
                writer.write(
                    b"HTTP/1.1 %d X\r\nContent-Type: application/json\r\nContent-Length: %d\r\n\r\n"
                    % (status, len(data)) + data
                )
                await writer.drain()
        except (ConnectionError, asyncio.IncompleteReadError):
            pass
        finally:
            writer.close()

    async def answer(self, method, target, body):
        url = urllib.parse.urlsplit(target)
        query = dict(urllib.parse.parse_qsl(url.query))
        if method == "GET" and url.path == "/-/kv-key":
            item = self.items.get(query["key"])
            return (200, dict(item, at=self.revision)) if item else (404, {"at": self.revision})
        if method == "GET" and url.path == "/-/kv-range":
            keys = sorted(k for k in self.items if k.startswith(query["prefix"]))
            keys = [k for k in keys if k > query.get("after", "")]
            page = [self.items[k] for k in keys[:500]]
            return 200, {"entries": page, "has_more": len(keys) > 500, "at": self.revision}
        if method == "GET" and url.path == "/-/kv-watch":
            return 200, await self.watch(query)
        if method == "POST" and url.path == "/-/kv-txn":
            return self.transact(json.loads(body))
        return 404, {}

    async def watch(self, query):
        until = time.monotonic() + int(query["wait_ms"]) / 1000
        after, prefix = int(query["after"]), query["prefix"]
        while True:
            events = [e for e in self.history if e["revision"] > after and e["key"].startswith(prefix)]
            left = until - time.monotonic()
            if events or left <= 0:
                return {"events": events, "at": self.revision}
            try:
                await asyncio.wait_for(self.changed.wait(), left)
            except asyncio.TimeoutError:
                pass

    def transact(self, call):
        for row in call["expect"]:
            item = self.items.get(row["key"])
            if (item["revision"] if item else 0) != row["revision"]:
                keys = [r["key"] for r in call["expect"]]
                return 412, {"entries": [self.items[k] for k in keys if k in self.items]}
        for row in call["write"]:
            self.put(row["key"], base64.b64decode(row["value"]))
        for key in call["remove"]:
            self.remove(key)
        return 200, {"revision": self.revision}


class Link:
    """The network path to one server: passes bytes on, or holds all of them during a cut."""

    def __init__(self, port):
        self.upstream = port
        self.open = asyncio.Event()
        self.open.set()
        self.port = None

    async def start(self):
        server = await asyncio.start_server(self.serve, "127.0.0.1", 0)
        self.port = server.sockets[0].getsockname()[1]

    async def serve(self, reader, writer):
        await self.open.wait()
        try:
            up_reader, up_writer = await asyncio.open_connection("127.0.0.1", self.upstream)
        except ConnectionError:
            # A port without a listener resets the connection.
            writer.get_extra_info("socket").setsockopt(
                socket.SOL_SOCKET, socket.SO_LINGER, b"\x01\0\0\0\0\0\0\0")
            writer.close()
            return
        await asyncio.gather(self.copy(reader, up_writer), self.copy(up_reader, writer))
        for w in (up_writer, writer):
            w.close()

    async def copy(self, reader, writer):
        """Passes bytes on, and the end of the connection as it was: in order or by a reset."""
        try:
            while True:
                data = await reader.read(65536)
                await self.open.wait()
                if not data:
                    if writer.can_write_eof():
                        writer.write_eof()
                    return
                writer.write(data)
                await writer.drain()
        except ConnectionError:
            await self.open.wait()
            writer.transport.abort()
        except (RuntimeError, OSError):
            pass


def configuration(version, keys, prepaid):
    """A configuration like that of a small deployment."""
    def route(name, prefix, service, kind, timeout, aim, attempts, resumable):
        return {"name": name, "host": "h.example", "prefix": prefix, "service": service, "kind": kind,
                "timeout_ms": timeout, "target_latency_ms": aim, "priority": 1,
                "max_attempts": attempts, "public": False, "sticky_sessions": kind == "streaming",
                "stream_resumption": resumable, "target_gap_ms": 300}
    engine = {"slots": 64, "kv_capacity_tokens": 708703, "stride": 6, "models": [{"name": "m"}]}
    return {
        "version": version,
        "routes": [
            route("r-draft", "/draft/", "lm", "streaming", 15000, 600, 1, False),
            route("r-ask", "/ask/", "lm", "streaming", 12000, 400, 2, True),
            route("r-page", "/page/", "app", "non_idempotent", 1500, 150, 2, False),
            route("r-attach", "/attach/", "app", "idempotent", 1500, 150, 2, False),
        ],
        "services": [
            {"name": "lm", "health_path": "/health", "connection_limit": 370, "protocol": "h1",
             "tls": False, "inference_engine": engine},
            {"name": "app", "health_path": "/health", "connection_limit": 110, "protocol": "h1",
             "tls": False},
        ],
        "limits": {"max_header_bytes": 16384, "max_body_bytes": 4194304,
                   "header_timeout_ms": 3000, "idle_timeout_ms": 15000},
        "tenants": [{"name": "acme", "api_keys": keys, "priority": 1, "prepaid": prepaid}],
    }


SETTINGS = """node_name = "{name}"
role = "router"
machine_class = "frontend"
serves = ["frontend"]
ip = "127.0.0.1"
zone = "{zone}"
region = "scl"
internal_port_range = [{internal},{internal}]
seeds = []
bootstrap = true
fault_counted = false
discovery = "platform"
entry = "virtual_ip"
heartbeat_interval_ms = 1200
contracts = ["base","drain","config","cost","retry","recover","engine","stream","tenants","platform"]
[zones]
scl-a = "scl"
scl-b = "scl"
scl-c = "scl"
[listen]
frontend = "127.0.0.1:{frontend}"
ready = "127.0.0.1:{ready}"
[limits]
cpu_share = 0.19
cores = 1
memory_mb = 260
file_descriptors = 4100
link_mbps = 1000.0
disk_mb = 0
[fault_tolerance]
machines = 2
zones = 0
regions = 0
[bounds]
seed_lag_s = 3
address_reuse_s = 2
stable_window_ms = 3000
confirmation_ms = 4000
catch_up_s = 4
drain_ms = 2000
grace_period_s = 8
loss_slack_ms = 200
config_apply_ms = 2000
downgrade_slack_ms = 250
outer_bound_ms = 5000
strict_revocation = false
revocation_ms = 5000
retry_budget_ratio = 0.2
retry_window_s = 10
retry_budget_slack = 56
recovery_s = 12
iteration_ms = 120
cache_window_s = 10
settle_ms = 1500
[platform]
address = "127.0.0.1:{store}"
form = "kv"
writes_per_s = 400
reads_per_s = 2000
history_s = 20
max_value_bytes = 1048576
min_ttl_ms = 1000
"""


class Router:
    """A router process, started with the command of the deploy file."""

    def __init__(self, folder, name, zone, store_port):
        self.name = name
        self.frontend, self.ready, self.internal = free_port(), free_port(), free_port()
        self.settings = os.path.join(folder, name + ".toml")
        self.log = os.path.join(folder, name + ".log")
        self.process = None
        with open(self.settings, "w") as f:
            f.write(SETTINGS.format(name=name, zone=zone, internal=self.internal,
                                    frontend=self.frontend, ready=self.ready, store=store_port))

    async def start(self):
        env = {k: os.environ[k] for k in ("PATH", "HOME", "LANG") if k in os.environ}
        env["WISTERIAPASS_CONFIG"] = self.settings
        with open(self.log, "ab") as log:
            self.process = await asyncio.create_subprocess_exec(
                "target/release/wisteriapassd", "--on-platform",
                env=env, stdout=log, stderr=log, start_new_session=True)

    async def wait_ready(self, seconds=15):
        until = time.monotonic() + seconds
        while time.monotonic() < until:
            if await probe(self.ready, "/-/readiness") == 200:
                return True
            await asyncio.sleep(0.1)
        return False

    def end(self):
        if self.process and self.process.returncode is None:
            try:
                self.process.kill()
            except ProcessLookupError:
                pass


async def probe(port, path):
    """Returns the status of a GET, or None."""
    try:
        reader, writer = await asyncio.open_connection("127.0.0.1", port)
        writer.write(f"GET {path} HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n".encode())
        head = await asyncio.wait_for(read_head(reader), 1)
        writer.close()
        return int(head[0].split(" ")[1]) if head else None
    except (OSError, asyncio.TimeoutError):
        return None


class Answer:
    """What a client got of an answer."""

    def __init__(self):
        self.status = None
        self.headers = {}
        self.body = b""
        # Whether the end of the answer was marked by a length or a last chunk.
        self.complete = False


async def call(port, path, attempt, key="k1", method="POST", body=b"x" * 600, tokens=None,
               remaining=12000, extra="", gap=None, on_data=None):
    """Sends one client attempt on a new connection and reads its answer.

    The client leaves at its deadline, and after a pause of `gap` seconds.
    """
    answer = Answer()
    until = time.monotonic() + remaining / 1000
    gap = gap or remaining / 1000
    writer = None
    try:
        reader, writer = await asyncio.open_connection("127.0.0.1", port)
        head = (f"{method} {path} HTTP/1.1\r\nHost: h.example\r\nX-Attempt-Id: {attempt}\r\n"
                f"X-Deadline-Remaining: {remaining}\r\nAuthorization: Bearer {key}\r\n{extra}"
                f"Content-Length: {len(body)}\r\n")
        if tokens:
            head += (f"X-Model-Name: m\r\nX-Token-Counts: {tokens[0]},{tokens[1]}\r\n"
                     f"X-Prompt-Prefix: {attempt[-8:]}:{tokens[0]}\r\n")
        writer.write(head.encode() + b"\r\n" + body)

        async def limited(reading):
            return await asyncio.wait_for(reading, max(0.01, min(gap, until - time.monotonic())))

        first = await limited(read_head(reader))
        if first is None:
            return answer
        answer.status, answer.headers = int(first[0].split(" ")[1]), first[1]
        if answer.headers.get("transfer-encoding", "").lower() == "chunked":
            while True:
                line = await limited(reader.readline())
                if not line:
                    return answer
                size = int(line.split(b";")[0], 16)
                data = await limited(reader.readexactly(size + 2))
                if size == 0:
                    answer.complete = True
                    return answer
                answer.body += data[:-2]
                if on_data:
                    on_data(answer)
        length = int(answer.headers.get("content-length", 0))
        answer.body = await limited(reader.readexactly(length))
        answer.complete = True
    except (OSError, asyncio.TimeoutError, asyncio.IncompleteReadError, ValueError):
        pass
    finally:
        if writer:
            writer.close()
    return answer

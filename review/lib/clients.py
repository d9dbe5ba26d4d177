"""Stand-ins of clients that send single requests to the instances of the directory."""

import asyncio
import random

from standin import read_body, read_head


async def send(record, known, path, body, timeout_ms=1500, key="key0", fields=""):
    """Sends one request over a new connection; returns its status, fields and body."""
    address = random.choice(known["addresses"])
    host, port = address.rsplit(":", 1)
    name = f"{random.getrandbits(64):016x}"
    status, answer, text = "not connected", {}, b""
    try:
        reader, writer = await asyncio.wait_for(asyncio.open_connection(host, int(port)), 1.0)
        try:
            writer.write((
                f"POST {path} HTTP/1.1\r\nHost: h.example\r\nX-Lacewingpost-Attempt-Id: {name}\r\n"
                f"X-Lacewingpost-Deadline-Milliseconds: {timeout_ms}\r\nApi-Key: {key}\r\n{fields}"
                f"Content-Length: {len(body)}\r\n\r\n").encode() + body)
            status = "closed"
            head = await asyncio.wait_for(read_head(reader), timeout_ms / 1000)
            if head:
                answer = head[1]
                text = await asyncio.wait_for(read_body(reader, answer), 1.0)
                status = head[0].split(" ")[1]
        finally:
            writer.close()
    except (OSError, asyncio.TimeoutError, asyncio.IncompleteReadError):
        pass
    signature = answer.get("x-lacewingpost-response-signature")
    record.write(f"client sent {name} to {address}, got {status}, signature {signature}")
    return name, status, answer, text


async def follow_directory(instances, known):
    while True:
        answer = await instances.resolve("h.example")
        if answer:
            known["addresses"] = answer[0]
        await asyncio.sleep(2.0)


def plain_config(version, service, services, kind="safe", max_attempts=2):
    route = {"name": "plain", "host": "h.example", "prefix": "/l/", "kind": kind,
             "timeout_ms": 1500, "target_latency_ms": 100, "priority": 2, "service": service,
             "max_attempts": max_attempts}
    services = [{"name": name, "connection_limit": 96, "health_path": "/health"}
                for name in services]
    return {
        "version": version, "routes": [route], "services": services,
        "limits": {"header_bytes": 16384, "body_bytes": 4194304, "header_timeout_ms": 3000,
                   "idle_ms": 15000},
        "tenants": [{"name": "t0", "api_keys": ["key0"], "prepaid": 1e9}],
    }

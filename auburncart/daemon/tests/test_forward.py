"""The daemon as a process: start, stop, reload and invalid settings."""

import asyncio
import json
import os
import signal
import socket
import subprocess
import sys
import tempfile
import unittest
from pathlib import Path

from auburncart.daemon.tests.signals import survives_sighup
from auburncart.platform.settings import METRICS_PORT

SECONDS = 10.0
GRACE_SECONDS = 3.0
REPLICA_REPLY = (
    b"HTTP/1.1 200 OK\r\nX-Attempt-Id: id1\r\nX-Server-Stamp: p\r\nContent-Length: 2\r\n\r\nhi"
)
REQUEST = b"GET /a/x HTTP/1.1\r\nHost: h\r\nX-Attempt-Id: id1\r\nX-Deadline-Remaining: 3000\r\n\r\n"


def free_port() -> int:
    with socket.socket() as probe:
        probe.bind(("127.0.0.1", 0))
        return probe.getsockname()[1]


# The port of the metrics is fixed; each run of the tests has an address of its own.
METRICS_HOST = "127.{}.{}.7".format(*divmod(os.getpid() % 50_000, 250))


class ProcessTest(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self) -> None:
        self.replica = await asyncio.start_server(self.serve_replica, "127.0.0.1", 0)
        self.store = await asyncio.start_server(self.serve_store, "127.0.0.1", 0)
        self.front, self.ready, self.relay = free_port(), free_port(), free_port()
        self.reply_delay = 0.0
        self.unresponsive = False
        self.folder = tempfile.TemporaryDirectory()
        self.path = Path(self.folder.name, "boot.json")
        self.settings = {
            "nodeName": "vm1", "ipAddr": METRICS_HOST, "zone": "dc1", "region": "r1",
            "zones": {"dc1": "r1"}, "bootstrap": False, "portRange": [self.relay, self.relay],
            "listenAddrs": {"front": f"127.0.0.1:{self.front}", "ready": f"127.0.0.1:{self.ready}"},
            "platform": {"address": self.address(self.store)},
            "contractParams": {"graceS": GRACE_SECONDS},
        }  # fmt: skip
        self.path.write_text(json.dumps(self.settings))
        self.process = await asyncio.create_subprocess_exec(
            sys.executable, "-m", "auburncart.daemon",
            env={**os.environ, "AUBURNCART_SETTINGS": str(self.path)},
            stdout=asyncio.subprocess.PIPE, stderr=asyncio.subprocess.PIPE,
        )  # fmt: skip

    async def asyncTearDown(self) -> None:
        if self.process.returncode is None:
            self.process.kill()
            await self.process.wait()
        self.replica.close()
        self.store.close()
        self.folder.cleanup()

    def address(self, server: asyncio.Server) -> str:
        host, port = server.sockets[0].getsockname()
        return f"{host}:{port}"

    async def serve_replica(self, reader, writer) -> None:
        try:
            while True:
                await reader.readuntil(b"\r\n\r\n")
                await asyncio.sleep(self.reply_delay)
                writer.write(REPLICA_REPLY)
        except (asyncio.IncompleteReadError, ConnectionError):
            pass
        finally:
            writer.close()

    async def serve_store(self, reader, writer) -> None:
        route = {
            "name": "r", "host": "h", "pathPrefix": "/a/", "kind": "non_idempotent",
            "timeoutMs": 3000, "sloMs": 1000, "priority": 0, "maxAttempts": 1, "service": "s",
        }  # fmt: skip
        limits = {
            "maxHeaderBytes": 9000, "maxBodyBytes": 9000, "headerTimeoutMs": 1000,
            "idleTimeoutMs": 5000,
        }  # fmt: skip
        services = [{"name": "s", "maxConns": 26}]
        configuration = {
            "configVersion": 3, "routes": [route], "services": services, "limits": limits
        }  # fmt: skip
        replica = {
            "service": "s", "address": self.address(self.replica), "zone": "dc1", "slots": 2,
            "state": "ready", "configVersion": "v1", "coldLeftMs": 0, "sequence": 1,
        }  # fmt: skip
        kinds = {"config": {"main": configuration}, "servers": {"i-1": replica}}
        try:
            while True:
                head = (await reader.readuntil(b"\r\n\r\n")).decode()
                length = head.lower().partition("content-length: ")[2].partition("\r")[0]
                await reader.readexactly(int(length or 0))
                if self.unresponsive:
                    await asyncio.sleep(SECONDS)
                target = head.split()[1]
                if "watch=" in target:
                    await asyncio.sleep(1.0)
                    body = {"events": [], "atRev": 1}
                else:
                    kind = target.split("/")[2].partition("?")[0]
                    items = [
                        {"meta": {"name": name, "rev": 1}, "spec": spec}
                        for name, spec in kinds.get(kind, {}).items()
                    ]
                    body = {"items": items, "hasMore": False, "atRev": 1}
                data = json.dumps(body).encode()
                writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n" % len(data) + data)
        except (asyncio.IncompleteReadError, ConnectionError):
            pass
        finally:
            writer.close()

    async def wait_until_ready(self) -> None:
        async with asyncio.timeout(SECONDS):
            while True:
                try:
                    if (await self.ask(self.ready, b"GET /r HTTP/1.1\r\n\r\n")).startswith(
                        b"HTTP/1.1 200"
                    ):
                        return
                except ConnectionError:
                    pass
                await asyncio.sleep(0.05)

    async def ask(self, port: int, message: bytes) -> bytes:
        reader, writer = await asyncio.open_connection("127.0.0.1", port)
        writer.write(message)
        head = await reader.readuntil(b"\r\n\r\n")
        writer.close()
        return head

    async def lines(self) -> list[dict]:
        assert self.process.stdout is not None
        return [json.loads(line) for line in (await self.process.stdout.read()).splitlines()]

    async def test_a_request_in_flight_at_sigterm_is_answered_and_logged(self) -> None:
        await self.wait_until_ready()
        self.reply_delay = 0.5
        asked = asyncio.create_task(self.ask(self.front, REQUEST))
        await asyncio.sleep(0.2)
        self.process.send_signal(signal.SIGTERM)
        await asyncio.sleep(0.1)
        ready = await self.ask(self.ready, b"GET /r HTTP/1.1\r\n\r\n")
        self.assertTrue(ready.startswith(b"HTTP/1.1 503"))
        head = await asked
        self.assertTrue(head.startswith(b"HTTP/1.1 200"))
        self.assertIn(b"Connection: close", head)
        async with asyncio.timeout(SECONDS):
            self.assertEqual(await self.process.wait(), 0)
        kinds = [line["message_type"] for line in await self.lines()]
        for kind in ("Started", "ConfigurationInForce", "ReplicasChanged", "Routed", "Answered"):
            self.assertIn(kind, kinds)
        self.assertEqual(kinds[-1], "Stopped")

    async def test_a_store_that_does_not_reply_does_not_delay_the_shutdown(self) -> None:
        await self.wait_until_ready()
        self.unresponsive = True
        self.process.send_signal(signal.SIGTERM)
        async with asyncio.timeout(GRACE_SECONDS):
            self.assertEqual(await self.process.wait(), 0)
        self.assertEqual((await self.lines())[-1]["message_type"], "Stopped")

    async def test_a_connected_readiness_client_causes_no_error_at_shutdown(self) -> None:
        await self.wait_until_ready()
        reader, writer = await asyncio.open_connection("127.0.0.1", self.ready)
        writer.write(b"GET /r HTTP/1.1\r\n\r\n")
        await reader.readuntil(b"\r\n\r\n")
        self.process.send_signal(signal.SIGTERM)
        _, errors = await self.process.communicate()
        writer.close()
        self.assertEqual((self.process.returncode, errors), (0, b""))

    async def test_sighup_during_the_start_does_not_end_the_process(self) -> None:
        async def send_sighups() -> None:
            while True:
                self.process.send_signal(signal.SIGHUP)
                await asyncio.sleep(0.005)

        async with asyncio.timeout(SECONDS):
            while not survives_sighup(self.process.pid):
                await asyncio.sleep(0)
        sighup_task = asyncio.create_task(send_sighups())
        await self.wait_until_ready()
        sighup_task.cancel()
        self.assertIsNone(self.process.returncode)

    async def test_metrics_are_served_on_the_address_of_the_vm_only(self) -> None:
        """On 127.0.0.1 two runs of the tests on one machine took the port from each other."""
        await self.wait_until_ready()
        reader, writer = await asyncio.open_connection(METRICS_HOST, METRICS_PORT)
        writer.write(b"GET /metrics HTTP/1.1\r\nHost: h\r\n\r\n")
        self.assertTrue((await reader.readline()).startswith(b"HTTP/1.1 200"))
        writer.close()

    async def test_a_changed_address_of_the_store_is_logged_as_waiting_for_a_restart(self) -> None:
        await self.wait_until_ready()
        changed = {"platform": {"address": "127.0.0.1:1"}, "contractParams": {"graceS": 2}}
        self.path.write_text(json.dumps({**self.settings, **changed}))
        self.process.send_signal(signal.SIGHUP)
        await asyncio.sleep(0.2)
        self.assertTrue((await self.ask(self.front, REQUEST)).startswith(b"HTTP/1.1 200"))
        self.process.send_signal(signal.SIGTERM)
        await self.process.wait()
        (reload,) = [line for line in await self.lines() if line["message_type"] == "Reloaded"]
        self.assertEqual(reload["changed"], ["store_address", "grace_seconds"])
        self.assertEqual(reload["after_restart"], ["store_address"])

    async def test_settings_are_reloaded_and_invalid_ones_change_nothing(self) -> None:
        await self.wait_until_ready()
        self.path.write_text(json.dumps({**self.settings, "contractParams": {"graceS": 2}}))
        self.process.send_signal(signal.SIGHUP)
        await asyncio.sleep(0.2)
        self.path.write_text("{")
        self.process.send_signal(signal.SIGHUP)
        await asyncio.sleep(0.2)
        head = await self.ask(self.front, REQUEST)
        self.assertTrue(head.startswith(b"HTTP/1.1 200"))
        self.process.send_signal(signal.SIGTERM)
        await self.process.wait()
        reloads = [line for line in await self.lines() if line["message_type"] == "Reloaded"]
        self.assertEqual(reloads[0]["changed"], ["grace_seconds"])
        self.assertTrue(reloads[1]["error"])


class StartTest(unittest.TestCase):
    def test_sighup_is_ignored_before_anything_else_is_imported(self) -> None:
        """The default action ends the process, and the imports take some tenths of a second."""
        check = (
            "import sys, signal\n"
            "loaded = set(sys.modules)\n"
            "def ignore(number, action):\n"
            "    print(sorted(set(sys.modules) - loaded), number == signal.SIGHUP)\n"
            "    sys.exit()\n"
            "signal.signal = ignore\n"
            "from auburncart.daemon.__main__ import main\n"
            "main()\n"
        )
        process = subprocess.run(
            [sys.executable, "-c", check], capture_output=True, text=True, check=True
        )
        own = ["auburncart", "auburncart.daemon", "auburncart.daemon.__main__"]
        self.assertEqual(process.stdout, f"{[*own, 'auburncart.exception']} True\n")


class InvalidSettingsTest(unittest.TestCase):
    def test_a_missing_field_is_a_clear_error(self) -> None:
        with tempfile.TemporaryDirectory() as folder:
            path = Path(folder, "boot.json")
            path.write_text('{"nodeName": "vm1"}')
            process = subprocess.run(
                [sys.executable, "-m", "auburncart.daemon"],
                env={**os.environ, "AUBURNCART_SETTINGS": str(path)},
                capture_output=True,
                check=False,
            )
        self.assertEqual(process.returncode, 2)
        self.assertIn(b"boot.json: Object missing required field", process.stderr)

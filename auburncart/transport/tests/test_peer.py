import asyncio
import contextlib
import unittest

import cbor2
import eliot
from websockets.asyncio.client import connect
from websockets.exceptions import ConnectionClosed

from auburncart.coordination.handshake import KeyRing
from auburncart.coordination.observer import NullObserver
from auburncart.coordination.peers import Peers
from auburncart.exception import LinkError, ProtocolError
from auburncart.protocol.peer import MAX_HANDSHAKE_BYTES, decode_message, encode_message
from auburncart.state.link import Goodbye, Heartbeat, Hello, Versions
from auburncart.state.member import Member
from auburncart.state.payload import QueryLoss, StatusAsk, StatusNews
from auburncart.tests.virtual import virtual_time
from auburncart.transport.peer import MAX_CONNECTIONS, WebSocketDialer, WebSocketPeerListener

STATUS = StatusNews(Versions(3), True, "")


class LinkEndpoint:
    """One VM's links over real websockets."""

    def __init__(self, address: str, *keys: str) -> None:
        self.member = Member(address, "dc1", 1)
        self.payloads: list[tuple[object, Member]] = []
        self.peers = Peers(
            lambda: self.member,
            lambda: Heartbeat(Versions()),
            WebSocketDialer(),
            KeyRing(keys),
            NullObserver(),
        )
        self.peers.subscribe(
            QueryLoss, lambda payload, origin: self.payloads.append((payload, origin))
        )
        self.peers.serve(StatusAsk, self._status)
        self.listener = WebSocketPeerListener(address, self.peers.accept)

    async def _status(self, question: StatusAsk, origin: Member) -> StatusNews:
        return STATUS

    async def start(self) -> None:
        await self.listener.start()
        self.heartbeat_task = asyncio.create_task(self.peers.run())

    async def stop(self) -> None:
        self.heartbeat_task.cancel()
        await self.peers.close("ended")
        await self.listener.stop()


async def start_endpoints(*keys: tuple[str, ...]) -> list[LinkEndpoint]:
    endpoints = [LinkEndpoint(f"10.0.0.{number}:7000", *ring) for number, ring in enumerate(keys)]
    for endpoint in endpoints:
        await endpoint.start()
    return endpoints


class LinkTest(unittest.TestCase):
    @virtual_time
    async def test_payload_crosses_a_chain_once_and_a_question_is_answered(self) -> None:
        a, b, c = await start_endpoints(("k",), ("k",), ("k",))
        self.assertTrue(await a.peers.dial(b.member.address))
        self.assertTrue(await b.peers.dial(c.member.address))
        self.assertTrue(await c.peers.dial(a.member.address))
        payload = QueryLoss("d", "10.9.9.9:80", True)
        a.peers.publish(payload)
        await asyncio.sleep(10)
        self.assertEqual(
            (a.payloads, b.payloads, c.payloads), ([], [(payload, a.member)], [(payload, a.member)])
        )
        self.assertEqual(await a.peers.ask(c.member, StatusAsk(), 1.0), STATUS)
        for endpoint in (a, b, c):
            await endpoint.stop()
        self.assertEqual(len(b.peers.links), 0)

    @virtual_time
    async def test_two_keys_are_accepted_while_one_replaces_the_other(self) -> None:
        for own_keys, peer_keys, linked in (
            (("old",), ("old", "new"), True),
            (("old", "new"), ("new", "old"), True),
            (("new", "old"), ("old",), False),
            (("old",), ("new",), False),
        ):
            a, b = await start_endpoints(own_keys, peer_keys)
            self.assertEqual(await a.peers.dial(b.member.address), linked, (own_keys, peer_keys))
            self.assertEqual(len(b.peers.links), int(linked))
            await a.stop()
            await b.stop()

    @virtual_time
    async def test_malformed_frames_close_their_own_link_with_a_reason(self) -> None:
        a, b = await start_endpoints(("k",), ("k",))
        await a.peers.dial(b.member.address)
        hello = encode_message(Hello(1, Member("10.0.0.9:7000", "dc1", 1), "n"))
        cases = {
            b"\xff": "CBOR",
            "text": "text frame",
            encode_message(Goodbye("x")): "before the handshake was complete",
            encode_message(Heartbeat(Versions(9))): "before the handshake was complete",
            cbor2.dumps([0, 1, ["10.0.0.9:7000", "dc1", "1"], "n"]): "Expected `int`",
            cbor2.dumps([99]): "unknown number",
            cbor2.dumps([0, 2, ["a", "b", 1, "live"], "n"]): "version 2",
            b"\x81" * 1000: "depth",
            cbor2.dumps([0, 1, ["a", "b", 1, "live"], 2**70]): "semantic tag",
            bytes(MAX_HANDSHAKE_BYTES + 1): "1009",
        }
        for frame, reason in cases.items():
            host, port = b.member.address.split(":")
            async with connect(f"ws://{b.member.address}", host=host, port=int(port)) as connection:
                await connection.send(frame)
                with self.assertRaises(ConnectionClosed) as caught:
                    while True:
                        await connection.recv()
                self.assertIn(reason, str(caught.exception))
        async with connect(f"ws://{b.member.address}", host=host, port=int(port)) as connection:
            await connection.send(hello)
            await connection.send(cbor2.dumps([1, "0" * 64]))
            with self.assertRaisesRegex(ConnectionClosed, "proof matches no accepted key"):
                while True:
                    await connection.recv()
        self.assertEqual(await a.peers.ask(b.member, StatusAsk(), 1.0), STATUS)
        await a.stop()
        await b.stop()

    @virtual_time
    async def test_many_silent_unauthenticated_clients_are_closed_within_seconds(self) -> None:
        (b,) = await start_endpoints(("k",))
        host, port = b.member.address.split(":")
        loop = asyncio.get_running_loop()
        began = loop.time()
        connections = [
            await connect(f"ws://{b.member.address}", host=host, port=int(port)) for _ in range(40)
        ]
        for connection in connections:
            with self.assertRaises(ConnectionClosed):
                await connection.recv()
        self.assertLess(loop.time() - began, 4.0)
        self.assertEqual(len(b.peers.links), 0)
        await b.stop()

    @virtual_time
    async def test_connections_beyond_the_limit_are_closed_before_they_send(self) -> None:
        (b,) = await start_endpoints(("k",))
        loop = asyncio.get_running_loop()
        began = loop.time()
        host, port = b.member.address.split(":")
        connections = [await asyncio.open_connection(host, int(port)) for _ in range(300)]
        await asyncio.sleep(0.1)
        ended = [
            connection
            for connection in connections
            if connection[0].at_eof() or connection[1].is_closing()
        ]
        self.assertGreaterEqual(len(ended), 300 - MAX_CONNECTIONS)
        for reader, _ in connections:
            with contextlib.suppress(ConnectionError):
                await reader.read()
        self.assertLess(loop.time() - began, 3.0)
        a = LinkEndpoint("10.0.0.9:7000", "k")
        self.assertTrue(await a.peers.dial(b.member.address))
        await a.peers.close("ended")
        await b.stop()

    @virtual_time
    async def test_silent_link_is_closed(self) -> None:
        a, b = await start_endpoints(("k",), ("k",))
        await a.peers.dial(b.member.address)
        a.heartbeat_task.cancel()
        await asyncio.sleep(4.5)
        self.assertEqual(len(b.peers.links), 0)
        with self.assertRaises(LinkError):
            await a.peers.ask(Member("10.0.0.77:1", "dc1", 1), StatusAsk(), 1.0)
        await a.stop()
        await b.stop()

    @virtual_time
    async def test_keys_appear_in_no_log_and_no_repr(self) -> None:
        lines: list[dict] = []
        eliot.add_destinations(lines.append)
        try:
            a, b = await start_endpoints(("secret-one",), ("secret-two",))
            await a.peers.dial(b.member.address)
            await a.stop()
            await b.stop()
        finally:
            eliot.remove_destination(lines.append)
        self.assertTrue(any(line.get("message_type") == "peer_refused" for line in lines))
        self.assertNotIn("secret", repr(lines) + repr(KeyRing(("secret-one",))))


class CodecTest(unittest.TestCase):
    def test_reference_cycles_and_malformed_payloads_are_refused(self) -> None:
        cycle = bytes.fromhex("82d81c81d81d0001")
        for frame in (
            cycle,
            cbor2.dumps([3, ["a", "b", 1, "live"], 1, 3, False, [1, ["d", 5, True]]]),
        ):
            with self.assertRaises(ProtocolError):
                decode_message(frame)

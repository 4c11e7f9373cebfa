import json
import unittest

from auburncart.coordination.forwarding.roster import ENTRY_VMS
from auburncart.exception import ProtocolError
from auburncart.platform.store import CONFIGURATION, REPLICAS, PlatformKindStoreCodec

REPLICA = {
    "service": "s", "address": "127.0.0.1:1", "zone": "dc1", "configVersion": "v1", "slots": 2,
    "state": "ready", "coldLeftMs": 500, "sequence": 4, "born": 7,
}  # fmt: skip


DEEP = b"[" * 100_000 + b"]" * 100_000


def odd_spec(**fields: bytes) -> bytes:
    """Return the JSON of a replica's entry with some fields replaced."""
    texts = {name: json.dumps(value).encode() for name, value in REPLICA.items()} | fields
    return b"{%b}" % b",".join(b'"%b":%b' % (name.encode(), text) for name, text in texts.items())


ODD_SPECS = {
    "deeply nested": DEEP,
    "a deeply nested field": odd_spec(extra=DEEP),
    "a number beyond all floats": odd_spec(coldLeftMs=b"1e999"),
    "a negative number": odd_spec(slots=b"-1"),
    "an integer of 400 digits": odd_spec(slots=b"1" + 400 * b"0"),
    "not a number": odd_spec(slots=b"NaN"),
    "invalid text": odd_spec(service=b'"\xff"'),
    "half a surrogate": odd_spec(service=b'"\\ud800"'),
    "a port out of range": odd_spec(address=b'"127.0.0.1:65536"'),
    "a negative port": odd_spec(address=b'"127.0.0.1:-1"'),
    "no port": odd_spec(address=b'"127.0.0.1"'),
    "a host name": odd_spec(address=b'"replica.example:80"'),
    "an empty address": odd_spec(address=b'""'),
}


def stored_object(name: str, spec: object) -> dict:
    return {"meta": {"name": name, "rev": 3}, "spec": spec}


class StoreTest(unittest.TestCase):
    def page(self, kind: str, *items: dict):
        body = json.dumps({"items": items, "hasMore": False, "atRev": 9}).encode()
        return PlatformKindStoreCodec().decode_page(kind, body)

    def test_replica_is_decoded(self) -> None:
        (entry,) = self.page(REPLICAS, stored_object("i-1", REPLICA)).entries
        self.assertEqual((entry.value.instance, entry.value.warm_up_seconds), ("i-1", 0.5))
        self.assertFalse(entry.value.draining)

    def test_invalid_entry_hides_no_other(self) -> None:
        invalid = [
            {**REPLICA, "state": "odd"},
            {**REPLICA, "slots": "two"},
            {key: value for key, value in REPLICA.items() if key != "address"},
            "text",
            None,
            17,
        ]
        items = [stored_object(f"x{number}", spec) for number, spec in enumerate(invalid)]
        entries = self.page(REPLICAS, *items, stored_object("i-1", REPLICA)).entries
        self.assertEqual([entry.name for entry in entries if entry.value], ["i-1"])
        self.assertTrue(all(entry.error for entry in entries if not entry.value))

    def test_an_odd_entry_of_another_writer_hides_no_other(self) -> None:
        good = json.dumps(stored_object("i-1", REPLICA)).encode()
        for reason, odd in ODD_SPECS.items():
            with self.subTest(reason):
                raw = b'{"meta":{"name":"odd","rev":4},"spec":%b}' % odd
                page = PlatformKindStoreCodec().decode_page(
                    REPLICAS, b'{"items":[%b,%b],"hasMore":true,"atRev":9}' % (raw, good)
                )
                self.assertEqual((page.has_more, page.revision), (True, 9))
                self.assertEqual([entry.name for entry in page.entries], ["odd", "i-1"])
                self.assertEqual([bool(entry.error) for entry in page.entries], [True, False])
                changes = PlatformKindStoreCodec().decode_changes(
                    REPLICAS, b'{"events":[{"object":%b},{"object":%b}],"atRev":9}' % (raw, good)
                )
                self.assertEqual(changes.revision, 9)
                self.assertEqual([entry.name for entry in changes.entries], ["odd", "i-1"])
                self.assertEqual([bool(entry.error) for entry in changes.entries], [True, False])

    def test_the_name_of_an_undecodable_entry_is_read_whatever_it_and_the_rest_hold(self) -> None:
        """A name with an escaped character was read as an empty one."""
        codec, nested = PlatformKindStoreCodec(), b"[" * 2000 + b"]" * 2000
        for name in ("a\u00f1o-9", 'a"b', "a\\b", "\U0001f600", "a,{b"):
            for encoded in (
                json.dumps(name).encode(),
                json.dumps(name, ensure_ascii=False).encode(),
            ):
                meta = b'"meta": {"finalizers": [{"name": "f"}], "name" : %b, "rev": 4}' % encoded
                other = b'"spec": {"x": %b, "meta": {"name": "other"}, "name": "other"}' % nested
                for raw in (b"{%b, %b}" % (meta, other), b"{%b, %b}" % (other, meta)):
                    with self.subTest(name=name, raw=raw[:40]):
                        body = b'{"items":[%b],"atRev":9,"hasMore":true}' % raw
                        (entry,) = codec.decode_page("servers", body).entries
                        self.assertEqual((entry.name, entry.value), (name, None))
                        self.assertTrue(entry.error)
                        body = b'{"events":[{"deleted":false,"object":%b}],"atRev":9}' % raw
                        (entry,) = codec.decode_changes("servers", body).entries
                        self.assertEqual((entry.name, entry.value), (name, None))

    def test_an_entry_without_a_field_or_of_another_type_names_no_replica(self) -> None:
        """An entry of another writer was used as a replica of the service that it named."""
        required = REPLICA.keys() - {"born"}
        specs = [
            *({key: value for key, value in REPLICA.items() if key != name} for name in required),
            *({**REPLICA, name: None} for name in REPLICA),
            *({**REPLICA, name: [REPLICA[name]]} for name in REPLICA),
            {**REPLICA, "born": 7.5},
            {**REPLICA, "sequence": "4"},
            {**REPLICA, "sequence": -1},
            {**REPLICA, "coldLeftMs": "0"},
            {**REPLICA, "configVersion": 1},
        ]
        for spec in specs:
            with self.subTest(spec=spec):
                (entry,) = self.page(REPLICAS, stored_object("i-1", spec)).entries
                self.assertIsNone(entry.value)
                self.assertTrue(entry.error)

    def test_a_name_that_no_header_can_carry_names_no_replica(self) -> None:
        """The attempt at it ended with an error of the encoding, or split its request's head."""
        for name in ("i-\u0142", "i-\xf1", "i-1\r\nX-Other: 1", "i 1", "i-\x7f", ""):
            with self.subTest(name=name):
                (entry,) = self.page(REPLICAS, stored_object(name, REPLICA)).entries
                self.assertIsNone(entry.value)

    def test_an_entry_of_another_writer_names_no_vm(self) -> None:
        """A data centre that is no text ended the task that keeps links to other VMs."""
        vm = {"data_centre": "dc1", "address": "127.0.0.1:1", "merge_address": "127.0.0.1:2"}
        specs = [None, [], "x", {}, *({**vm, name: ["x"]} for name in vm)]
        items = [stored_object(f"x{number}", spec) for number, spec in enumerate(specs)]
        entries = self.page(ENTRY_VMS, *items, stored_object("vm1", vm)).entries
        self.assertEqual([entry.name for entry in entries if entry.value], ["vm1"])

    def test_a_body_that_is_no_page_is_an_error(self) -> None:
        for body in (b"", b"[]", b'{"items":', b'{"items":[', b'{"items":[1}', b"[" * 100_000):
            with self.subTest(body[:20]), self.assertRaises(ProtocolError):
                PlatformKindStoreCodec().decode_page(REPLICAS, body)

    def test_configuration_is_converted_to_seconds(self) -> None:
        spec = {
            "configVersion": 7,
            "routes": [
                {"name": "r", "host": "H", "pathPrefix": "/a/", "kind": "non_idempotent",
                 "timeoutMs": 1500, "sloMs": 111, "priority": 0, "maxAttempts": 2,
                 "targets": [{"service": "s", "weight": 3}], "unknown": 1},
                {"name": "g", "host": "h", "pathPrefix": "/g/", "kind": "idempotent",
                 "timeoutMs": 1500, "sloMs": 111, "priority": 0, "maxAttempts": 2,
                 "gather": ["s", "t"], "topK": 5, "minShare": 0.75},
            ],
            "services": [{"name": "s", "healthPath": "/h", "maxConns": 26}],
            "limits": {"maxHeaderBytes": 1, "maxBodyBytes": 2, "headerTimeoutMs": 3000,
                       "idleTimeoutMs": 15000},
        }  # fmt: skip
        (entry,) = self.page(CONFIGURATION, stored_object("main", spec)).entries
        order, search = entry.value.routes
        self.assertEqual((order.host, order.idempotent, order.timeout), ("h", False, 1.5))
        self.assertEqual((search.shards, search.top_records), (("s", "t"), 5))
        self.assertEqual(entry.value.limits.idle_timeout_seconds, 15.0)

    def test_malformed_list_is_an_error(self) -> None:
        for body in (b"", b"[]", b"{", b'{"items":1,"atRev":2}', b"\xff"):
            with self.assertRaises(ProtocolError):
                PlatformKindStoreCodec().decode_page(REPLICAS, body)

    def test_names_are_quoted_in_paths(self) -> None:
        call = PlatformKindStoreCodec().list_call("servers", "a/b&c", True)
        self.assertEqual(call.path, "/objects/servers?after=a%2Fb%26c&staleOk=1")

import json
import unittest

from auburncart.exception import ProtocolError
from auburncart.platform.store import CONFIGURATION, REPLICAS, PlatformKindStoreCodec

REPLICA = {
    "service": "s", "address": "127.0.0.1:1", "zone": "dc1", "configVersion": "v1", "slots": 2,
    "state": "ready", "coldLeftMs": 500, "sequence": 4, "born": 7,
}  # fmt: skip


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

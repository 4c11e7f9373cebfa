import json
import unittest

from auburncart.exception import ProtocolError
from auburncart.platform.store import CONFIGURATION, REPLICAS, PlatformKindDialect

ENTRY = {
    "service": "s", "address": "127.0.0.1:1", "zone": "dc1", "configVersion": "v1", "slots": 2,
    "state": "ready", "coldLeftMs": 500, "sequence": 4, "born": 7,
}  # fmt: skip


def held(name: str, spec: object) -> dict:
    return {"meta": {"name": name, "rev": 3}, "spec": spec}


class StoreTest(unittest.TestCase):
    def page(self, kind: str, *items: dict):
        body = json.dumps({"items": items, "hasMore": False, "atRev": 9}).encode()
        return PlatformKindDialect().page(kind, body)

    def test_a_replicas_entry_is_decoded(self) -> None:
        (entry,) = self.page(REPLICAS, held("i-1", ENTRY)).entries
        self.assertEqual((entry.value.instance, entry.value.warm_up_seconds), ("i-1", 0.5))
        self.assertFalse(entry.value.draining)

    def test_an_entry_that_cannot_be_read_hides_no_other(self) -> None:
        spoilt = [
            {**ENTRY, "state": "odd"},
            {**ENTRY, "slots": "two"},
            {key: value for key, value in ENTRY.items() if key != "address"},
            "text",
            None,
            17,
        ]
        items = [held(f"x{number}", spec) for number, spec in enumerate(spoilt)]
        entries = self.page(REPLICAS, *items, held("i-1", ENTRY)).entries
        self.assertEqual([entry.name for entry in entries if entry.value], ["i-1"])
        self.assertTrue(all(entry.error for entry in entries if not entry.value))

    def test_a_configuration_is_decoded_into_our_units(self) -> None:
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
        (entry,) = self.page(CONFIGURATION, held("main", spec)).entries
        order, search = entry.value.routes
        self.assertEqual((order.host, order.idempotent, order.timeout), ("h", False, 1.5))
        self.assertEqual((search.shards, search.top_records), (("s", "t"), 5))
        self.assertEqual(entry.value.limits.idle_timeout_seconds, 15.0)

    def test_a_body_that_is_no_list_is_an_error(self) -> None:
        for body in (b"", b"[]", b"{", b'{"items":1,"atRev":2}', b"\xff"):
            with self.assertRaises(ProtocolError):
                PlatformKindDialect().page(REPLICAS, body)

    def test_names_are_quoted_in_paths(self) -> None:
        call = PlatformKindDialect().list_call("servers", "a/b&c", True)
        self.assertEqual(call.path, "/objects/servers?after=a%2Fb%26c&staleOk=1")

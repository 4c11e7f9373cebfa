import tempfile
import unittest
from pathlib import Path

import msgspec

from auburncart.exception import SettingsError
from auburncart.settings.entry import EntrySettings, load_entry_settings

FIELDS = {
    "name": "vm1",
    "data_centre": "dc1",
    "general_address": "10.0.0.1:80",
    "urgent_address": "10.0.0.1:81",
    "platform_address": "10.0.0.9:80",
    "platform_token": "secret-token",
    "peer_address": "10.0.0.1:7000",
    "peer_keys": ["secret-key-of-16-or-more"],
}


def load(**changes: object) -> EntrySettings:
    with tempfile.TemporaryDirectory() as folder:
        path = Path(folder) / "entry.json"
        path.write_bytes(msgspec.json.encode({**FIELDS, **changes}))
        return load_entry_settings(path)


class EntrySettingsTest(unittest.TestCase):
    def test_secrets_are_hidden(self) -> None:
        self.assertNotIn("secret", repr(load()) + str(load()))
        for changes in ({"peer_keys": ["secret"]}, {"platform_token": ["secret"]}):
            with self.assertRaises(SettingsError) as caught:
                load(**changes)
            self.assertNotIn("secret", str(caught.exception))

    def test_peer_address_requires_one_or_two_keys(self) -> None:
        for keys in ([], ["a" * 16, "b" * 16, "c" * 16]):
            with self.assertRaisesRegex(SettingsError, "peer_keys"):
                load(peer_keys=keys)

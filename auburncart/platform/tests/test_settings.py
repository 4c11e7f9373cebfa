import json
import tempfile
import unittest
from pathlib import Path

from auburncart.exception import SettingsError
from auburncart.platform.settings import load_platform_settings

SETTINGS = {
    "nodeName": "vm1",
    "ipAddr": "127.0.0.1",
    "zone": "dc1",
    "region": "north",
    "zones": {"dc1": "north"},
    "listenAddrs": {"front": "127.0.0.1:1", "ready": "127.0.0.1:2"},
    "portRange": [3, 4],
    "platform": {"address": "127.0.0.1:5"},
}


class PlatformSettingsTest(unittest.TestCase):
    def setUp(self) -> None:
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        self.path = Path(folder.name) / "settings.json"

    def write(self, **parameters: object) -> Path:
        self.path.write_text(json.dumps({**SETTINGS, "contractParams": parameters}))
        return self.path

    def test_the_bounds_on_changes_are_those_of_the_deployment(self) -> None:
        settings = load_platform_settings(self.write(stableWindowMs=6000, configApplyMs=5500.5))
        self.assertEqual((settings.stable_seconds, settings.apply_seconds), (6.0, 5.5005))

    def test_without_bounds_the_shortest_known_are_assumed(self) -> None:
        settings = load_platform_settings(self.write())
        self.assertEqual((settings.stable_seconds, settings.apply_seconds), (4.0, 3.0))

    def test_a_bound_that_is_no_number_is_reported(self) -> None:
        with self.assertRaises(SettingsError):
            load_platform_settings(self.write(stableWindowMs="4000"))

import unittest

from auburncart.exception import SettingsError
from auburncart.protocol.table_file import format_table, parse_table, table_from_file
from auburncart.state.table import Row, Table
from auburncart.state.work import Rank

TABLE = Table(
    7,
    (Row("*", "closure", Rank.URGENT, 4.0), Row("á, b", 'say "x"', Rank.NORMAL, 0.5, 3, 0, 2.5)),
    (0.1, 0.2, 0.05),
)


class TableFileTest(unittest.TestCase):
    def test_export_reads_back_the_same(self) -> None:
        for form in ("json", "csv"):
            written = parse_table(format_table(TABLE, form), f"table.{form}")
            self.assertEqual(table_from_file(written, 7), TABLE)
            self.assertEqual(written.based_on, 7)

    def test_all_faults_are_named_at_once(self) -> None:
        text = """{ // comment
          rows: [
            {customer: "a", kind: "k", rank: "urgent", weight: 0},
            {customer: "a", kind: "k", rank: "soon", colour: 1},
            {customer: " b", kind: "", rank: "normal", max_rate: Infinity},
          ],
          floors: [0.5, 0.6, 0.1],
        }"""
        with self.assertRaises(SettingsError) as caught:
            parse_table(text, "t.json")
        faults = "\n".join(caught.exception.faults)
        for place in (
            "rows.0.weight",
            "rows.1.rank",
            "rows.1.colour",
            "rows.2.customer",
            "rows.2.kind",
            "rows.2.max_rate",
            "rows.1: found customer 'a' and kind 'k' again",
            "floors: found",
        ):
            self.assertIn(place, faults)

    def test_csv_faults_and_empty_cells(self) -> None:
        text = "customer,kind,rank,weight\n*,closure,urgent,\na,closure,urgent,heavy,extra\n"
        with self.assertRaises(SettingsError) as caught:
            parse_table(text, "t.csv")
        faults = "\n".join(caught.exception.faults)
        self.assertNotIn("rows.0", faults)
        self.assertIn("rows.1.weight: found 'heavy'", faults)
        self.assertIn("rows.1.column 5", faults)

    def test_too_large_a_table_is_refused(self) -> None:
        rows = ",".join(
            f'{{customer: "{"x" * 190}{index}", kind: "k", rank: "normal"}}'
            for index in range(1000)
        )
        with self.assertRaisesRegex(SettingsError, "bytes stored"):
            parse_table(f"{{rows: [{rows}]}}", "t.json")

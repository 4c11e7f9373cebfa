"""A second front end over the same services: lines of text, without HTTP or JSON."""

import asyncio
import unittest

from auburncart.state.search import SearchRequest
from auburncart.state.work import Rank
from auburncart.tests.site import Site
from auburncart.tests.virtual import virtual_time


class LineFrontEnd:
    """Answers ``ID CUSTOMER KIND MILLISECONDS QUERY`` with one line."""

    def __init__(self, site: Site) -> None:
        self._site = site

    async def answer(self, line: str) -> str:
        request_id, customer, kind, milliseconds, query = line.split(" ", 4)
        deadline = asyncio.get_running_loop().time() + int(milliseconds) / 1000.0
        request = SearchRequest(request_id, customer, kind, query, deadline)
        result = await self._site.searches.search(request)
        if result.is_error():
            return f"{request_id} refused {result.error.code.value} ran={result.error.ran.value}"
        coverage = result.ok.coverage
        return f"{request_id} {result.ok.snapshot} {coverage.answered}/{coverage.asked}"


class LineFrontEndTest(unittest.TestCase):
    @virtual_time
    async def test_same_decisions_without_http(self) -> None:
        site = Site(shards=5)
        front_end = LineFrontEnd(site)
        answers = await asyncio.gather(
            front_end.answer("a ladera closure 900 net 12"),
            front_end.answer("b ladera none 900 net"),
        )
        await site.close()
        self.assertEqual(answers, ["a s1 5/5", "b refused bad_request ran=no"])
        self.assertEqual(site.tables.table.rows[0].rank, Rank.URGENT)

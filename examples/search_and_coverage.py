"""Sends a search over HTTP and prints its coverage and hits, then an invalid search.

Run it as ``python examples/search_and_coverage.py``; it has no other requirements.
"""

import asyncio
import json
import sys

from auburncart.command.demo import demo_site
from auburncart.command.request import post

BODY: dict[str, object] = {
    "customer": "ladera",
    "kind": "closure",
    "query": "net 12",
    "deadline_ms": 2000,
    "request_id": "foreman-7",
    "shards": ["shard-03", "shard-04"],
}


async def main() -> None:
    """Run the demonstration site, send both searches, and print the replies."""
    async with demo_site() as address:
        status, text = await asyncio.to_thread(post, address, "/v1/search", BODY, 2.0)
        answer = json.loads(text)
        sys.stdout.write(f"{status} {answer['request_id']} {json.dumps(answer['coverage'])}\n")
        for hit in answer["hits"]:
            sys.stdout.write(f"{hit['record']}: {hit['text']}\n")
        bad = {**BODY, "deadline_ms": "soon"}
        status, text = await asyncio.to_thread(post, address, "/v1/search", bad, 2.0)
        refusal = json.loads(text)
        sys.stdout.write(f"{status} ran={refusal['ran']}: {refusal['reason']}\n")


if __name__ == "__main__":
    asyncio.run(main())

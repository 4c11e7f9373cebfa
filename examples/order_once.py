"""Sends the same order twice over HTTP; it takes effect once, and the second reply says so.

Run it as ``python examples/order_once.py``; it has no other requirements.
"""

import asyncio
import json
import sys

from auburncart.command.demo import demo_site
from auburncart.command.request import new_key, post


async def main() -> None:
    """Run the demonstration site; send an order twice, then another order with the same key."""
    body: dict[str, object] = {
        "customer": "ladera",
        "kind": "closure",
        "shard": "shard-03",
        "key": new_key(),
        "order": "replace panel 4",
        "deadline_ms": 2000,
    }
    async with demo_site() as address:
        for order in (body, body, {**body, "order": "replace panel 5"}):
            status, text = await asyncio.to_thread(post, address, "/v1/order", order, 2.0)
            fields = json.loads(text)
            shown = {name: fields.get(name) for name in ("ran", "repeated", "error")}
            sys.stdout.write(f"{status} {json.dumps(shown)}\n")


if __name__ == "__main__":
    asyncio.run(main())

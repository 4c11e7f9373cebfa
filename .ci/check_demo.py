"""Checks that the answer to the search of ``auburncart demo --once`` is complete."""

import json
import sys
from pathlib import Path

answer = json.loads(Path(sys.argv[1]).read_text())
coverage = answer["coverage"]
incomplete = (
    not coverage["complete"] or coverage["answered"] != coverage["asked"] or coverage["missing"]
)
if incomplete or not answer["snapshot"] or not answer["hits"]:
    sys.exit(f"the demonstration's answer is incomplete: {coverage}")
sys.stdout.write(f"demonstration: {coverage['answered']} of {coverage['asked']} shards answered\n")

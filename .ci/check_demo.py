"""Checks that the demonstration's one search answered in full."""

import json
import sys
from pathlib import Path

answer = json.loads(Path(sys.argv[1]).read_text())
coverage = answer["coverage"]
wrong = not coverage["complete"] or coverage["answered"] != coverage["asked"] or coverage["missing"]
if wrong or not answer["snapshot"] or not answer["hits"]:
    sys.exit(f"the demonstration's answer is not whole: {coverage}")
sys.stdout.write(f"demonstration: {coverage['answered']} of {coverage['asked']} shards answered\n")

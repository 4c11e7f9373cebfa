#!/bin/sh
# Checks, after the build of the deploy file, that all that the cases 6 to 9 start can be started.
# The stand-ins are Python modules, so that there is nothing to compile.
cd "$(dirname "$0")/.." || exit 2
PYTHONPATH=target/deps:. exec python3 -c '
import auburncart.daemon.tests.soak.replica
import auburncart.daemon.tests.soak.tcp_proxy
import auburncart.daemon.tests.soak.vm
import review.stand_ins_2.case
import review.stand_ins_2.replica
import review.stand_ins_2.store
'

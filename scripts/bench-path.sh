#!/bin/sh
# Measures one host under load against direct calls to its engine stand-in, on
# loopback, and prints memory and CPU use of the host process.
set -eu
cd "$(dirname "$0")/.."
sh scripts/environment.sh
. scripts/processes.sh
export TREFOILSPOOL_LOG_URL=http://127.0.0.1:8001
export TREFOILSPOOL_ROSTER_URL=http://127.0.0.1:8002
export TREFOILSPOOL_TICKET_SECRET=bench-secret-of-16
start standin log --port 8001
start standin roster --port 8002 --file examples/bench-roster.json
for i in 1 2 3 4; do
    start standin engine --name "engine$i" --port "830$i" --gap-ms 20 \
        --slots 200
done
.venv/bin/python scripts/wait_ready.py 8001
.venv/bin/trefoilspool settings set --file examples/cabrera.toml --yes \
    --author bench | tail -1
start host --name h1 --port 8101 --peer-port 8201 --max-streams 500
host_pid=$!
.venv/bin/python scripts/wait_ready.py 8101
grep VmRSS "/proc/$host_pid/status"
.venv/bin/trefoilspool bench path --port 8101 --token token-shops \
    --engine-port 8301 --streams "${1:-1,10,50,100,200,400}" --seconds 8
grep -E 'VmRSS|VmHWM|Threads' "/proc/$host_pid/status"
# Fields 14 and 15 are the user and system time, in ticks of 10 ms.
awk '{print "CPU seconds: " ($14 + $15) / 100}' "/proc/$host_pid/stat"

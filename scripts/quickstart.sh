#!/bin/sh
# Starts stand-ins and three hosts on loopback, sends one request of every
# kind, prints the outcomes and stops all processes that it started.
set -eu
cd "$(dirname "$0")/.."
sh scripts/environment.sh
. scripts/processes.sh
export TREFOILSPOOL_LOG_URL=http://127.0.0.1:8001
export TREFOILSPOOL_ROSTER_URL=http://127.0.0.1:8002
export TREFOILSPOOL_TICKET_SECRET=quickstart-secret-key
start standin log --port 8001
start standin roster --port 8002 --file examples/quickstart-roster.json
start standin engine --name engine1 --port 8301 --gap-ms 8
start standin engine --name engine2 --port 8302 --gap-ms 4
start standin service --name orders1 --port 8311
.venv/bin/python scripts/wait_ready.py 8001
.venv/bin/trefoilspool settings set --file examples/cabrera.toml --yes \
    --author quickstart | tail -1
for i in 1 2 3; do
    start host --name "h$i" --data-centre "dc$i" \
        --port "810$i" --peer-port "820$i"
done
.venv/bin/python scripts/wait_ready.py 8101 8102 8103
.venv/bin/trefoilspool smoke --hosts 8101,8102,8103 --token token-montevideo

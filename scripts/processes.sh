# Sourced by other scripts: starts processes in the background and stops them
# at exit.
run=$(mktemp -d)
pids=""
start() {
    .venv/bin/trefoilspool "$@" 2>>"$run/log.jsonl" &
    pids="$pids $!"
}
stop() {
    for pid in $pids; do kill "$pid" 2>/dev/null || true; done
    for pid in $pids; do wait "$pid" 2>/dev/null || true; done
    rm -rf "$run"
}
trap stop EXIT INT TERM

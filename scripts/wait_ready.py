"""Wait until servers on loopback are ready."""

import http.client
import sys
import time

READY_TIMEOUT_S = 60
POLL_INTERVAL_S = 0.1


def is_ready(port: int) -> bool:
    """Return whether ``/readyz`` has status 200, or 404 if not implemented."""
    connection = http.client.HTTPConnection('127.0.0.1', port, timeout=1)
    try:
        connection.request('GET', '/readyz')
        return connection.getresponse().status in {200, 404}
    except OSError:
        return False
    finally:
        connection.close()


def main() -> None:
    """Wait for the servers at the ports on the command line."""
    deadline = time.monotonic() + READY_TIMEOUT_S
    for port in map(int, sys.argv[1:]):
        while not is_ready(port):
            if time.monotonic() > deadline:
                sys.exit(f'port {port} is not ready after {READY_TIMEOUT_S} s')
            time.sleep(POLL_INTERVAL_S)


main()

"""Waits until servers on loopback are ready."""

import http.client
import sys
import time

LIMIT_S = 60
POLL_S = 0.1


def is_ready(port: int) -> bool:
    """Tell whether a server answers ``/readyz``, or 404 if it has none."""
    link = http.client.HTTPConnection('127.0.0.1', port, timeout=1)
    try:
        link.request('GET', '/readyz')
        return link.getresponse().status in {200, 404}
    except OSError:
        return False
    finally:
        link.close()


def main() -> None:
    """Wait for the ports on the command line."""
    give_up = time.monotonic() + LIMIT_S
    for port in map(int, sys.argv[1:]):
        while not is_ready(port):
            if time.monotonic() > give_up:
                sys.exit(f'port {port} is not ready')
            time.sleep(POLL_S)


main()

"""Starts a host whose new connections to endpoints a file can cut."""

import importlib
import os
import signal
import socket
import sys
import time
from pathlib import Path

# A SIGHUP that arrives during the imports must not end the process.
signal.signal(signal.SIGHUP, signal.SIG_IGN)
ROOT = Path(__file__).resolve().parent.parent
sys.path.extend((str(ROOT), str(ROOT / 'platform')))
dialer = importlib.import_module('trefoilspool.paths.dialer').Dialer
CUT_FILE = Path(os.environ['SOAK_CUT_FILE'])
# Proxies of endpoints listen here, hosts elsewhere.
ENDPOINTS_ADDRESS = '127.0.0.1'
open_uncut = dialer.open


def open_unless_cut(
    own: object, address: str, port: int, timeout_s: float, source: str = ''
) -> socket.socket:
    """Open a connection, or fail as the file says."""
    if address == ENDPOINTS_ADDRESS and CUT_FILE.exists():
        if CUT_FILE.read_text() == 'reset':
            raise ConnectionRefusedError('cut')
        time.sleep(timeout_s)
        raise TimeoutError('cut')
    return open_uncut(own, address, port, timeout_s, source)


dialer.open = open_unless_cut
importlib.import_module('launch').main()

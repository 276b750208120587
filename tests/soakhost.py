"""Starts a host whose paths to endpoints and to other hosts files can cut."""

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
datagrams = importlib.import_module('trefoilspool.datagramsocket')
datagram_socket = datagrams.DatagramSocket
CUT_FILE = Path(os.environ['SOAK_CUT_FILE'])
OWN_ADDRESS = os.environ['TREFOILSPOOL_ADDRESS']
# Proxies of endpoints and of the store listen here, hosts elsewhere.
ENDPOINTS_ADDRESS = '127.0.0.1'
# What a file `ADDRESS.parted` lets through no more: to that host, from it.
CUT_WAYS = {'in': (True, False), 'out': (False, True), 'both': (True, True)}
open_uncut = dialer.open
connect_uncut = socket.create_connection
send_uncut = datagram_socket.send


def is_cut(address: str, way: int) -> bool:
    """Return whether a file cuts one way of a host, 0 in and 1 out."""
    try:
        text = CUT_FILE.with_name(f'{address}.parted').read_text()
    except FileNotFoundError:
        return False
    return CUT_WAYS.get(text, (False, False))[way]


def is_parted(address: str) -> bool:
    """Return whether nothing gets from this host to another."""
    return address != OWN_ADDRESS and (
        is_cut(OWN_ADDRESS, 1) or is_cut(address, 0)
    )


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


def connect_unless_parted(
    target: tuple[str, int], timeout_s: float, source: object = None
) -> socket.socket:
    """Open a connection; it takes both ways to do so."""
    address = target[0]
    ways = is_cut(address, 1) or is_cut(OWN_ADDRESS, 0)
    is_host = address not in {ENDPOINTS_ADDRESS, OWN_ADDRESS}
    if is_host and (ways or is_parted(address)):
        time.sleep(timeout_s)
        raise TimeoutError('parted')
    return connect_uncut(target, timeout_s, source)


def send_unless_parted(own: object, address: str, body: bytes) -> None:
    """Send a datagram; what has been received before stays to be read."""
    if not is_parted(address):
        send_uncut(own, address, body)


dialer.open = open_unless_cut
socket.create_connection = connect_unless_parted
datagram_socket.send = send_unless_parted
importlib.import_module('launch').main()

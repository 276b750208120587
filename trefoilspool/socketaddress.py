"""Socket addresses in texts."""

import ipaddress

__all__ = ['is_socket_address']

MAX_PORT = 65_535


def is_socket_address(address: str, port: str) -> bool:
    """Return whether two texts are an IPv4 address and a port."""
    try:
        ipaddress.IPv4Address(address)
    except ValueError:
        return False
    is_number = port.isascii() and port.isdigit()
    # Python refuses to convert texts of thousands of digits.
    is_short = len(port) <= len(str(MAX_PORT))
    return is_number and is_short and 0 < int(port) <= MAX_PORT

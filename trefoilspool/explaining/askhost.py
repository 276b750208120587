"""Asks a running host where a request would go."""

import http.client
import json
from collections.abc import Mapping
from urllib.parse import urlencode

from trefoilspool.errors import HostUnreachableError, OptionError
from trefoilspool.framing.strictresponse import StrictConnection

__all__ = ['ask_host']

TIMEOUT_S = 5.0
HTTP_OK = 200


def ask_host(address: str, question: Mapping[str, object]) -> str:
    """Return a host's answer, as indented JSON.

    Parameters
    ----------
    address : str
        IP:PORT of the host's metrics.
    question : mapping
        Fields of the question; see `placement.Question`.

    Raises
    ------
    OptionError
        The address or the question cannot be used.
    HostUnreachableError
        The host does not answer.
    """
    host, _, port = address.rpartition(':')
    if not port.isdecimal():
        raise OptionError('address', address, 'IP:PORT')
    connection = StrictConnection(host, int(port), timeout=TIMEOUT_S)
    try:
        connection.request('GET', f'/explain?{urlencode(question)}')
        response = connection.getresponse()
        body = response.read()
    except (OSError, http.client.HTTPException) as error:
        raise HostUnreachableError(f'{address}: {error!r}') from error
    finally:
        connection.close()
    if response.status != HTTP_OK:
        raise OptionError('question', question, body.decode(errors='replace'))
    return json.dumps(json.loads(body), indent=2)

"""Signed tickets: idempotency keys that only their issuer may redeem."""

import secrets
import threading
import time
from collections import OrderedDict
from typing import NamedTuple

from itsdangerous import BadSignature, URLSafeSerializer

from trefoilspool.problems import TicketError

__all__ = ['Ticket', 'TicketRegistry']

PREFIX = 'tkt.'
SALT = 'trefoilspool.ticket'
ID_BYTES = 12
LIFETIME_S = 3600


class Ticket(NamedTuple):
    """A unique id and the host incarnation that may redeem it.

    Attributes
    ----------
    issued : int
        Time of issue in seconds on the issuing host's monotonic clock.
    """

    host: str
    incarnation: int
    workspace: str
    ticket_id: str
    issued: int


class TicketRegistry:
    """Issues, verifies and redeems tickets; thread-safe.

    Parameters
    ----------
    secret : str
        Signing key, the same on all hosts.
    host, incarnation : str, int
        Issuer that the tickets name.
    """

    def __init__(self, secret: str, host: str, incarnation: int) -> None:
        self.serializer = URLSafeSerializer(secret, SALT)
        self.host = host
        self.incarnation = incarnation
        self.lock = threading.Lock()
        self.used: OrderedDict[str, int] = OrderedDict()

    def issue(self, workspace: str) -> str:
        """Return a new signed ticket."""
        ticket = Ticket(
            self.host,
            self.incarnation,
            workspace,
            secrets.token_hex(ID_BYTES),
            int(time.monotonic()),
        )
        return PREFIX + str(self.serializer.dumps(list(ticket)))

    def read(self, text: str) -> Ticket | None:
        """Return the ticket, or None if the text is an ordinary key.

        Raises
        ------
        TicketError
            When the text has the prefix of a ticket, but no valid signature.
        """
        if not text.startswith(PREFIX):
            return None
        try:
            return Ticket(*self.serializer.loads(text.removeprefix(PREFIX)))
        except (BadSignature, TypeError) as error:
            raise TicketError(
                'the ticket is malformed or its signature is not valid'
            ) from error

    def issued_here(self, ticket: Ticket) -> bool:
        """Return whether this incarnation of the host issued a ticket."""
        issuer = (ticket.host, ticket.incarnation)
        return issuer == (self.host, self.incarnation)

    def redeem(self, ticket: Ticket) -> bool:
        """Redeem a ticket issued here; return False if it was used before.

        Raises
        ------
        TicketError
            When the ticket has expired. Used tickets are remembered only for
            the lifetime of a ticket.
        """
        oldest_valid = time.monotonic() - LIFETIME_S
        if ticket.issued < oldest_valid:
            raise TicketError(
                f'the ticket has expired: it is older than {LIFETIME_S} s'
            )
        with self.lock:
            if ticket.ticket_id in self.used:
                return False
            self.used[ticket.ticket_id] = ticket.issued
            while next(iter(self.used.values())) < oldest_valid:
                self.used.popitem(last=False)
            return True

"""Signed tickets: keys that name the only host that may run them."""

import secrets
import threading
import time
from collections import OrderedDict
from typing import NamedTuple

from itsdangerous import BadSignature, URLSafeSerializer

from trefoilspool.errors import TicketError

__all__ = ['Ticket', 'TicketBook']

PREFIX = 'tkt.'
SALT = 'trefoilspool.ticket'
ID_BYTES = 12
LIFETIME_S = 3600


class Ticket(NamedTuple):
    """The host incarnation that may run a request, and a unique id.

    Attributes
    ----------
    issued : int
        Seconds on the issuing host's monotonic clock.
    """

    host: str
    incarnation: int
    workspace: str
    unique: str
    issued: int


class TicketBook:
    """Issues, reads and uses up tickets; safe to use from any thread.

    Parameters
    ----------
    secret : str
        Signing key, the same on all hosts.
    host, incarnation : str, int
        Who issues.
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
            When the text claims to be a ticket and its signature is wrong.
        """
        if not text.startswith(PREFIX):
            return None
        try:
            return Ticket(*self.serializer.loads(text.removeprefix(PREFIX)))
        except (BadSignature, TypeError) as error:
            raise TicketError('the ticket was not signed here') from error

    def issued_here(self, ticket: Ticket) -> bool:
        """Tell whether this very incarnation issued a ticket."""
        issuer = (ticket.host, ticket.incarnation)
        return issuer == (self.host, self.incarnation)

    def use(self, ticket: Ticket) -> bool:
        """Use up a ticket issued here; False if it was used before.

        Raises
        ------
        TicketError
            When the ticket is older than its lifetime, after which used
            tickets are forgotten.
        """
        oldest = time.monotonic() - LIFETIME_S
        if ticket.issued < oldest:
            raise TicketError(f'the ticket is older than {LIFETIME_S} s')
        with self.lock:
            if ticket.unique in self.used:
                return False
            self.used[ticket.unique] = ticket.issued
            while next(iter(self.used.values())) < oldest:
                self.used.popitem(last=False)
            return True

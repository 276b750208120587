"""The slots that are granted and not yet released."""

from collections.abc import Container, ItemsView

from trefoilspool.endpointload import Reservation
from trefoilspool.endpointpool import EndpointPool
from trefoilspool.promptguard import PromptGuard
from trefoilspool.slotmessages import HeldSlot, SlotKey

__all__ = ['Reservations']


class Reservations:
    """Granted slots, each counted at its endpoint and told to the guard.

    Parameters
    ----------
    pool : EndpointPool
        The endpoints.
    guard : PromptGuard
        Follows the requests that hold slots.

    Attributes
    ----------
    by_key : dict
        The slots.
    """

    def __init__(self, pool: EndpointPool, guard: PromptGuard) -> None:
        self.pool = pool
        self.guard = guard
        self.by_key: dict[SlotKey, Reservation] = {}

    def __len__(self) -> int:
        return len(self.by_key)

    def get(self, key: SlotKey) -> Reservation | None:
        """Return a slot, None if it is not held."""
        return self.by_key.get(key)

    def items(self) -> ItemsView[SlotKey, Reservation]:
        """Return the slots with their keys."""
        return self.by_key.items()

    def add(self, key: SlotKey, reservation: Reservation, now: float) -> None:
        """Add a slot."""
        self.by_key[key] = reservation
        self.guard.on_granted(key, reservation, now)
        endpoint = self.pool.by_name.get(reservation.endpoint)
        if endpoint is not None:
            endpoint.reservations[key] = reservation

    def cancel(self, key: SlotKey, now: float) -> Reservation | None:
        """Remove a slot and return it, None if it is not held."""
        reservation = self.by_key.pop(key, None)
        if reservation is None:
            return None
        self.guard.on_freed(key, reservation, now)
        endpoint = self.pool.by_name.get(reservation.endpoint)
        if endpoint is not None:
            endpoint.reservations.pop(key, None)
        return reservation

    def adopt(self, held: HeldSlot, now: float) -> Reservation:
        """Replace what is known of a slot by what its entry host reports."""
        replaced = self.cancel(held.key, now)
        reservation = Reservation(
            held.service,
            held.endpoint,
            now - held.age_s,
            held.prompt_tokens,
            held.output_tokens,
            # A slot that another host granted was not charged here, so nothing
            # is refunded when it is released.
            replaced.workspace if replaced else '',
            replaced.charge if replaced else 0,
            replaced.parts if replaced else (),
            self.guard.run(held.endpoint),
        )
        self.add(held.key, reservation, now)
        return reservation

    def missing(
        self, entry: str, listed: Container[SlotKey], before: float
    ) -> list[SlotKey]:
        """Return the slots of an entry host that it does not list.

        Parameters
        ----------
        entry : str
            Name of the host.
        listed : container of SlotKey
            Slots that it reports as held.
        before : float
            Slots granted from then on are left out, as their grants may still
            be in transit; in seconds, infinite to leave none out.
        """
        return [
            key
            for key, reservation in self.by_key.items()
            if key.entry == entry
            and key not in listed
            and reservation.granted_at < before
        ]

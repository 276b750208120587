"""The memory arenas of the C library, of which a host needs few."""

import ctypes

import logbook

__all__ = ['MAX_ARENAS', 'bound_arenas']

# The C library makes up to eight for each core, and each keeps the memory of the
# largest responses that its threads have held. One thread runs at a time.
MAX_ARENAS = 2
M_ARENA_MAX = -8  # of mallopt(3)

logger = logbook.Logger('memory')


def bound_arenas() -> None:
    """Bound the arenas of this process; call it before threads are started.

    Only the GNU C library has them.
    """
    set_option = getattr(ctypes.CDLL(None), 'mallopt', None)
    if set_option is None or not set_option(M_ARENA_MAX, MAX_ARENAS):
        logger.warning('arenas_not_bounded')

"""The memory arenas of the C library, of which a host needs few."""

import ctypes

import logbook

__all__ = ['MAX_ARENAS', 'bound_arenas']

# The C library makes up to eight for each core, and each keeps the memory of the
# largest responses that its threads have held. One thread runs at a time.
MAX_ARENAS = 2
M_ARENA_MAX = -8  # of mallopt(3)
M_MMAP_THRESHOLD = -3
# Longer blocks go back to the system as soon as they are freed. Without a fixed
# bound the C library raises it by itself, and keeps them.
RETURNED_BLOCK_BYTES = 131_072

BOUNDS = {
    M_ARENA_MAX: MAX_ARENAS,
    M_MMAP_THRESHOLD: RETURNED_BLOCK_BYTES,
}

logger = logbook.Logger('memory')


def bound_arenas() -> None:
    """Bound the arenas of this process, and what they keep of long blocks.

    Call it before threads are started.

    Only the GNU C library has them.
    """
    set_option = getattr(ctypes.CDLL(None), 'mallopt', None)
    for option, bound in BOUNDS.items():
        if set_option is None or not set_option(option, bound):
            logger.warning('arenas_not_bounded', extra={'option': option})

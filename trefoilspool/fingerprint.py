"""Ids of whole requests, the same for one that comes again."""

import hashlib

from trefoilspool.dialect import CallerRequest

__all__ = ['described', 'is_fingerprint', 'request_fingerprint']

# No id of a prompt part has it, as it ends them in the callers' headers.
PREFIX = ':'
DIGEST_BYTES = 12


def request_fingerprint(request: CallerRequest, workspace: str) -> str:
    """Return the id of requests with this path, caller and body.

    They also share the parts of their prompts, but the last, which may belong
    to one request only.

    Parameters
    ----------
    request : CallerRequest
        The request.
    workspace : str
        The caller's workspace; empty if it has none.
    """
    digest = hashlib.blake2b(request.body, digest_size=DIGEST_BYTES)
    names = (
        request.method,
        request.authority,
        request.target,
        workspace,
        *request.prompt_prefixes[-2:-1],
        str(len(request.body)),
    )
    digest.update('\n'.join(names).encode())
    return PREFIX + digest.hexdigest()


def is_fingerprint(part: str) -> bool:
    """Return whether a quarantined part stands for whole requests."""
    return part.startswith(PREFIX)


def described(part: str) -> str:
    """Return what an id of a part stands for, for a message."""
    kind = 'this request' if is_fingerprint(part) else 'prompt part'
    return f'{kind} {part.removeprefix(PREFIX) or "unknown"}'

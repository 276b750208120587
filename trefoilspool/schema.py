"""Schema of the keys that a node of the settings tree may set."""

from typing import Literal

from pydantic import BaseModel, ConfigDict, Field, ValidationError

from trefoilspool.errors import SettingsError

__all__ = ['LEVELS', 'Settings', 'check_path', 'check_value']

LEVELS = ('firm', 'workspace', 'service', 'tier', 'kind')
TIERS = 4


class Settings(BaseModel):
    """Effective values at one node; a key that is not set has its default."""

    model_config = ConfigDict(extra='ignore', frozen=True)

    token_hashes: tuple[str, ...] = Field(
        (),
        description='SHA-256 of the bearer tokens of a workspace',
    )
    weight: int = Field(
        1,
        ge=1,
        le=1000,
        description='fair share of a workspace in a tier',
    )
    target: Literal['model', 'service'] = Field(
        'model',
        description='whether a service is a model or plain',
    )
    cell: str = Field(
        '',
        pattern='^[a-z0-9._-]*$',
        description='model or plain service that serves the requests',
    )
    rank: int = Field(
        TIERS - 1,
        ge=0,
        lt=TIERS,
        description='tier, 0 is the highest',
    )
    timeout_s: float = Field(
        30,
        gt=0,
        le=3600,
        description='deadline when the caller names none',
    )
    max_timeout_s: float = Field(
        600,
        gt=0,
        le=3600,
        description='longest deadline a caller may name',
    )
    idempotent: bool = Field(
        default=True,
        description='whether a request may run twice',
    )
    max_body_bytes: int = Field(
        1_000_000,
        ge=1,
        le=64_000_000,
        description='largest request body',
    )
    output_tokens: int = Field(
        256,
        ge=1,
        le=100_000,
        description='longest answer, in tokens',
    )
    key_lifetime_s: float = Field(
        3600,
        gt=0,
        le=86_400,
        description='how long a key is remembered',
    )
    retry_share: float = Field(
        0.1,
        ge=0,
        le=0.5,
        description='retries as a share of requests',
    )
    interactive: bool = Field(
        default=False,
        description='whether a person reads the answer as it streams',
    )


def check_path(path: str) -> None:
    """Raise ``SettingsError`` unless the path names a node.

    Parameters
    ----------
    path : str
        ``/`` or up to four names: ``/workspace/service/tier/kind``.
    """
    names = [] if path == '/' else path.split('/')[1:]
    well_formed = path.startswith('/') and all(names)
    if not well_formed or len(names) >= len(LEVELS):
        raise SettingsError(
            path,
            'path',
            path,
            '/ or /workspace/service/tier/kind',
        )


def check_value(path: str, key: str, candidate: object) -> None:
    """Raise ``SettingsError`` unless the schema allows the value.

    Parameters
    ----------
    path, key : str
        Path of the node, and key of the value in it.
    candidate : object
        The value; None removes the key and is always allowed.
    """
    field = Settings.model_fields.get(key)
    if field is None:
        known = ', '.join(Settings.model_fields)
        raise SettingsError(path, key, candidate, f'one of the keys {known}')
    if candidate is None:
        return
    try:
        Settings.model_validate({key: candidate})
    except ValidationError as error:
        reason = error.errors()[0]['msg']
        raise SettingsError(
            path,
            key,
            candidate,
            f'{field.description} ({reason})',
        ) from None

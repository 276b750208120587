"""Process settings, read from flags and ``TREFOILSPOOL_`` variables."""

from collections.abc import Mapping
from typing import Literal, TypeVar

from pydantic import Field, ValidationError, ValidationInfo, field_validator
from pydantic_settings import BaseSettings, SettingsConfigDict

from trefoilspool.errors import OptionError
from trefoilspool.rollouts.exposure import (
    DEFAULT_EXPOSURE_SHARE,
    DEFAULT_EXPOSURE_TOLERANCE,
)

__all__ = ['GatewayOptions', 'HostOptions', 'StandinOptions', 'load_options']

MAX_PORT = 65535
ADDRESS = '^[0-9.]+:[0-9]+$'

MILLICORES_PER_CORE = 1000


class ProcessOptions(BaseSettings):
    """Options of every process."""

    model_config = SettingsConfigDict(
        env_prefix='TREFOILSPOOL_',
        extra='forbid',
    )

    address: str = Field('127.0.0.1', description='IP address to listen on')
    port: int = Field(0, ge=0, le=MAX_PORT, description='HTTP port')
    log_level: str = Field(
        'INFO',
        pattern='^(DEBUG|INFO|WARNING|ERROR)$',
        description='lowest level that is logged',
    )


class HostOptions(ProcessOptions):
    """Options of ``trefoilspool host``."""

    name: str = Field(pattern='^[A-Za-z0-9._-]+$', description='host name')
    data_centre: str = Field('dc1', description='data centre of the host')
    peer_port: int = Field(
        0, ge=0, le=MAX_PORT, description='port for frames from other hosts'
    )
    log_url: str = Field(pattern='^http://', description='log service URL')
    roster_url: str = Field(pattern='^http://', description='host list URL')
    ticket_secret: str = Field(
        min_length=16,
        description='key that signs tickets, the same on all hosts',
    )
    max_streams: int = Field(
        200, ge=1, le=4000, description='maximum number of open requests'
    )
    log_share: float = Field(
        10,
        gt=0,
        le=1000,
        description='log appends a second that this host may make',
    )
    grace_s: float = Field(
        2,
        ge=0,
        description='seconds between failing /readyz and closing the port',
    )
    drain_s: float = Field(
        600,
        ge=0,
        description='seconds given to requests at shutdown',
    )


class GatewayOptions(ProcessOptions):
    """Options of a host that serves routed requests on a platform."""

    name: str = Field(pattern='^[A-Za-z0-9._-]+$', description='host name')
    data_centre: str = Field(description='data centre of the host')
    listen: str = Field(
        pattern=ADDRESS, description='IP:PORT to listen on for callers'
    )
    ready: str = Field(
        pattern=ADDRESS, description='IP:PORT to listen on for readiness checks'
    )
    control: str = Field(
        pattern=ADDRESS, description='IP:PORT to listen on for peers'
    )
    mesh_port: int = Field(
        gt=0, le=MAX_PORT, description='UDP port for datagrams'
    )
    seeds: str = Field('', description='comma-separated IP:PORT of hosts')
    store: str = Field(pattern=ADDRESS, description='IP:PORT of the store')
    metrics: str = Field(
        '',
        pattern=f'^$|{ADDRESS}',
        description='IP:PORT to listen on for metrics; empty for none',
    )
    core_share: float = Field(
        1, gt=0, description='share of a core that the process may use'
    )
    memory_mb: float = Field(
        0,
        ge=0,
        description='memory of the process in megabytes; 0 if unknown',
    )
    max_fds: int = Field(
        0, ge=0, description='descriptors of the process; 0 if unknown'
    )
    endpoint_pace: bool = Field(
        default=False,
        description='whether endpoints that have just started or recovered '
        'get requests at the pace of their answers',
    )
    slot_order: Literal['due', 'shortest'] = Field(
        'due',
        description='which waiting request of a rank gets a slot first: the '
        'one that is due first, or the one that holds it for a short time',
    )
    exposure_share: float = Field(
        DEFAULT_EXPOSURE_SHARE,
        gt=0,
        le=1,
        description='share of a service that an unproven version may get',
    )
    exposure_tolerance: int = Field(
        DEFAULT_EXPOSURE_TOLERANCE,
        ge=0,
        description='requests that an unproven version may get besides',
    )
    core_speed: float = Field(
        1, gt=0, description='speed of the core relative to other hosts'
    )

    @field_validator('exposure_share', 'exposure_tolerance', mode='before')
    @classmethod
    def default_of_empty(cls, given: object, info: ValidationInfo) -> object:
        """Take an empty value, of a platform without a bound, for the default."""
        if given == '' and info.field_name is not None:
            return cls.model_fields[info.field_name].default
        return given

    @property
    def listeners(self) -> tuple[str, ...]:
        """Return the IP:PORT of all HTTP listeners."""
        own = (self.listen, self.ready, self.control, self.metrics)
        return tuple(listener for listener in own if listener)

    @property
    def capacity(self) -> int:
        """Return the processing capacity, in thousandths of a core."""
        return int(self.core_share * self.core_speed * MILLICORES_PER_CORE)

    @property
    def control_port(self) -> int:
        """Return the port of the listener for peers."""
        return int(self.control.rpartition(':')[2])

    @property
    def seed_addresses(self) -> list[str]:
        """Return the IP addresses of the seed hosts."""
        return [seed.split(':')[0] for seed in self.seeds.split(',') if seed]


class StandinOptions(ProcessOptions):
    """Options of ``trefoilspool standin``."""

    name: str = Field('standin', description='name of the stand-in')
    rate: float = Field(
        300,
        gt=0,
        description='appends or weight megabytes a second',
    )
    retention: int = Field(
        100_000,
        ge=1,
        description='records kept in a stream',
    )
    lag_s: float = Field(0.5, ge=0, description='age of lists and reports')
    file: str = Field('', description='JSON file of hosts and endpoints')
    gap_ms: float = Field(
        5,
        gt=0,
        description='milliseconds between tokens when idle',
    )
    prefill_rate: float = Field(
        20_000,
        gt=0,
        description='prompt tokens a second',
    )
    slots: int = Field(64, ge=1, description='largest batch')
    cache_blocks: int = Field(4096, ge=0, description='prefix blocks kept')
    checks_fencing: bool = Field(
        default=True,
        description='whether old fencing numbers are refused',
    )


OptionsT = TypeVar('OptionsT', bound=ProcessOptions)


def load_options(
    options_class: type[OptionsT],
    flags: Mapping[str, object],
) -> OptionsT:
    """Return validated options from flags and environment variables.

    Parameters
    ----------
    options_class : type
        The options class to fill.
    flags : mapping
        Values from the command line, which override the environment.

    Returns
    -------
    OptionsT
        The validated options.

    Raises
    ------
    OptionError
        When a value is missing, unknown or out of range.
    """
    try:
        return options_class(**flags)  # type: ignore[arg-type]
    except ValidationError as error:
        first = error.errors()[0]
        name = str(first['loc'][0])
        missing = first['type'] == 'missing'
        field = options_class.model_fields.get(name)
        expected = field.description if field else 'a known option'
        raise OptionError(
            name.replace('_', '-'),
            'no value' if missing else first.get('input'),
            f'{expected} ({first["msg"]})',
        ) from None

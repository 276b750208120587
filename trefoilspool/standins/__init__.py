"""Stand-ins for platform services and endpoints, one per module."""

from collections.abc import Mapping

from trefoilspool.standin import Standin
from trefoilspool.standins.engine import EngineStandin
from trefoilspool.standins.log import LogStandin
from trefoilspool.standins.roster import RosterStandin
from trefoilspool.standins.service import ServiceStandin
from trefoilspool.standins.weights import WeightsStandin

__all__ = ['STANDINS']

STANDINS: Mapping[str, type[Standin]] = {
    'log': LogStandin,
    'roster': RosterStandin,
    'engine': EngineStandin,
    'service': ServiceStandin,
    'weights': WeightsStandin,
}

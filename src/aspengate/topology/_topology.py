"""The regions of the failure domains, and the distance of each from this process."""

import enum
from collections.abc import Mapping
from dataclasses import dataclass, field
from functools import cached_property


class Distance(enum.Enum):
    """How far a failure domain is from this process; the values name counters."""

    OWN_DOMAIN = "own_domain"
    OWN_REGION = "own_region"
    OTHER_REGION = "other_region"


@dataclass(frozen=True)
class Topology:
    """Answers the region and the distance of failure domains.

    ``failure_domain`` and ``region`` are those of this process, and ``regions`` the region of each
    failure domain. Without ``regions``, all failure domains are in this process's region, which may
    be unnamed. A failure domain that ``regions`` lacks is in no known region: it counts as another
    region, unless there is only one.
    """

    failure_domain: str = ""
    region: str = ""
    regions: Mapping[str, str] = field(default_factory=dict)

    @cached_property
    def has_other_regions(self) -> bool:
        """Whether there is more than one region."""
        return len({self.region, *self.regions.values()}) > 1

    def region_of(self, failure_domain: str) -> str:
        """Return the region of a failure domain, empty if it is not known."""
        if not self.regions or failure_domain == self.failure_domain:
            return self.region
        return self.regions.get(failure_domain, "")

    def distance(self, failure_domain: str) -> Distance:
        """Return the distance of a failure domain."""
        if failure_domain == self.failure_domain:
            return Distance.OWN_DOMAIN
        if not self.has_other_regions or self.region_of(failure_domain) == self.region:
            return Distance.OWN_REGION
        return Distance.OTHER_REGION


def parse_regions(text: str) -> tuple[tuple[str, str], ...]:
    """Parse ``DOMAIN:REGION, ...``, which may be empty, into pairs of failure domain and region.

    Raises ValueError if an entry is incomplete or gives a failure domain a second region.
    """
    regions: dict[str, str] = {}
    for entry in filter(None, map(str.strip, text.split(","))):
        domain, separator, region = (part.strip() for part in entry.rpartition(":"))
        if not (domain and separator and region) or regions.get(domain, region) != region:
            raise ValueError(entry)
        regions[domain] = region
    return tuple(regions.items())

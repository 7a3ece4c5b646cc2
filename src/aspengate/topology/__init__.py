"""Regions, failure domains and the distance between them."""

from aspengate.topology._topology import Distance, Topology, parse_regions

__all__ = ["Distance", "Topology", "parse_regions"]

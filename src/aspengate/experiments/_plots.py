"""Plots of experiments."""

from collections.abc import Mapping, Sequence
from pathlib import Path

import matplotlib

matplotlib.use("Agg")
from matplotlib import pyplot

_GROUP_WIDTH = 0.8


def bars(
    path: Path,
    *,
    groups: Sequence[str],
    series: Sequence[str],
    value: Mapping[tuple[str, str], float],
    label: str,
) -> None:
    """Draw a bar for each (group, series) with its value, and write the picture to ``path``."""
    figure, axes = pyplot.subplots(figsize=(11, 5))
    width = _GROUP_WIDTH / len(series)
    for index, name in enumerate(series):
        places = [place + index * width for place in range(len(groups))]
        axes.bar(places, [value[group, name] for group in groups], width, label=name)
    middle = _GROUP_WIDTH / 2 - width / 2
    axes.set_xticks([place + middle for place in range(len(groups))], groups, rotation=20)
    axes.set_ylabel(label)
    axes.legend()
    figure.tight_layout()
    figure.savefig(path)
    pyplot.close(figure)

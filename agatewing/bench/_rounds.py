"""Draws the mean worth of each site after each round, as an SVG chart."""

import pathlib

import msgspec

#: Names of the stored figures and of the chart, in the same directory.
FIGURES_FILE = "platform-rounds.json"
CHART_FILE = "platform-rounds.svg"


class Round(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Mean worth of the six standard days on each site after a round."""

    # Short name of the change.
    name: str = msgspec.field(name="round")
    # Mean worth on the site of the encoded name.
    abastecer: float = msgspec.field(name="abastecer-rede")
    tala: float = msgspec.field(name="tala-ops")
    # Whether the change was kept.
    taken: bool


def load_rounds(directory: pathlib.Path) -> list[Round]:
    """Return the stored rounds, oldest first.

    Raises msgspec.ValidationError if a row has a missing or unknown field.
    """
    encoded = (directory / FIGURES_FILE).read_bytes()
    return msgspec.json.decode(encoded, type=list[Round])


def draw_chart(directory: pathlib.Path) -> pathlib.Path:
    """Write the chart into the directory of the figures; return its path."""
    import matplotlib

    matplotlib.use("svg")
    from matplotlib import pyplot

    rounds = load_rounds(directory)
    positions = range(len(rounds))
    figure, axes = pyplot.subplots(figsize=(9, 4.5))
    sites = {
        "abastecer-rede": [r.abastecer for r in rounds],
        "tala-ops": [r.tala for r in rounds],
    }
    kept = [position for position in positions if rounds[position].taken]
    for name, values in sites.items():
        (line,) = axes.plot(kept, [values[i] for i in kept], "o-", label=name)
        axes.plot(positions, values, "x", color=line.get_color())
    axes.set_xticks(list(positions))
    axes.set_xticklabels([r.name for r in rounds], rotation=40, ha="right")
    axes.set_ylabel("mean worth of six standard days")
    axes.set_title("o taken, x tried (trials without processor time)")
    axes.legend()
    figure.tight_layout()
    path = directory / CHART_FILE
    figure.savefig(path)
    return path

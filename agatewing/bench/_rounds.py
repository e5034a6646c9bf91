"""Draws the worth of both sites by round, from the stored figures."""

import pathlib

import msgspec

#: Names of the stored figures and of the drawing.
FIGURES = "platform-rounds.json"
DRAWING = "platform-rounds.svg"


class Round(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Mean worth of the six standard days of both sites after a round."""

    # What was changed.
    name: str = msgspec.field(name="round")
    # Mean worth on each site.
    abastecer: float = msgspec.field(name="abastecer-rede")
    tala: float = msgspec.field(name="tala-ops")
    # Whether the change was kept.
    taken: bool


def read(folder: pathlib.Path) -> list[Round]:
    """Return the stored rounds, oldest first."""
    raw = (folder / FIGURES).read_bytes()
    return msgspec.json.decode(raw, type=list[Round])


def draw(folder: pathlib.Path) -> pathlib.Path:
    """Write the drawing beside the figures; return its path."""
    import matplotlib

    matplotlib.use("svg")
    from matplotlib import pyplot

    rounds = read(folder)
    places = range(len(rounds))
    figure, axes = pyplot.subplots(figsize=(9, 4.5))
    sites = {
        "abastecer-rede": [r.abastecer for r in rounds],
        "tala-ops": [r.tala for r in rounds],
    }
    kept = [place for place in places if rounds[place].taken]
    for name, values in sites.items():
        (line,) = axes.plot(kept, [values[i] for i in kept], "o-", label=name)
        axes.plot(places, values, "x", color=line.get_color())
    axes.set_xticks(list(places))
    axes.set_xticklabels([r.name for r in rounds], rotation=40, ha="right")
    axes.set_ylabel("mean worth of six standard days")
    axes.set_title("o taken, x tried (trials without processor time)")
    axes.legend()
    figure.tight_layout()
    path = folder / DRAWING
    figure.savefig(path)
    return path

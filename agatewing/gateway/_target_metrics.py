"""Metrics of single engines: speed, how sure it is, and share of work."""

from agatewing import _metrics
from agatewing import decisions
from agatewing.gateway import _target_registry

_PREFILL = "agatewing_target_prefill_speed_ratio"
_DECODE = "agatewing_target_decode_speed_ratio"
_ANSWERS = "agatewing_target_speed_answers"
_SENDS = "agatewing_target_sends"
_KEPT = "agatewing_target_preferred"


def clear(metrics: _metrics.Metrics) -> None:
    """Remove the values of all engines; some may have gone."""
    for name in (_PREFILL, _DECODE, _ANSWERS, _SENDS, _KEPT):
        metrics.clear_gauge(name)


def write(metrics: _metrics.Metrics, pool: _target_registry.Pool) -> None:
    """Write the values of a pool's engines."""
    alike = decisions.TimeFactors()
    for name, tracked in pool.engines.items():
        factors = pool.time_factors.get(tracked.target.key, alike)
        for metric, help_text, value in (
            (
                _PREFILL,
                "Prefill speed over that of the service, by target",
                1 / factors.prefill,
            ),
            (
                _DECODE,
                "Decode speed over that of the service, by target",
                1 / factors.decode,
            ),
            (
                _ANSWERS,
                "Answers that a target's speed is learned from; 0 if it counts"
                " as the middle, or all as alike",
                factors.samples,
            ),
            (
                _SENDS,
                "Requests and prefills of this instance so far, by target",
                tracked.channels.uses,
            ),
            (
                _KEPT,
                "Whether this instance samples mostly this target and others",
                tracked.load.kept,
            ),
        ):
            metrics.gauge(
                metric,
                help_text,
                float(value),
                service=pool.name,
                target=name,
            )

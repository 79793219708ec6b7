"""Figures of a run, computed from its trace."""

from dataclasses import dataclass

from hdrh.histogram import HdrHistogram

__all__ = ["Figures", "Quantiles", "compute_figures", "format_table"]

# Range and significant digits of the histograms.
MIN_US = 1
MAX_US = 600_000_000
SIGNIFICANT_DIGITS = 3


@dataclass(frozen=True)
class Quantiles:
    """Quantiles of a time, in the unit that the figure's name ends with."""

    p50: float
    p95: float
    p99: float


@dataclass(frozen=True)
class Figures:
    """Figures of one run.

    All are shares from 0 to 1, unless the unit is given.

    Attributes:
        sent: Numbers of interactive and of patient requests that were sent.
        goodput_interactive: Share of the interactive requests that were answered
            within both targets.
        goodput_patient: Share of the patient requests that were answered.
        goodput_interactive_s: Interactive answers within both targets per second of
            load.
        goodput_patient_s: Patient answers per second of load.
        wasted: Share of the prefilled tokens whose KV cache was never transferred.
        late: Share of the prompt tokens, without those of refused requests, that
            belong to interactive requests that were not answered within both targets.
        prefix_missing: Number of tokens that were expected in a prefix cache and were
            not there, divided by the number of prompt tokens of requests that were not
            refused.
        prefix_surplus: Number of tokens that were in a prefix cache and were not
            expected there, divided by the same number of prompt tokens.
        refused_interactive: Share of the interactive requests that were refused.
        refused_patient: Share of the patient requests that were refused.
        failed: Share of all requests that ended without a whole answer or a refusal.
        unfinished_patient: Share of the patient requests that had not ended when the
            run ended.
        refusal_ms: Milliseconds until a refusal.
        first_ms: Milliseconds to the first token of interactive requests.
        first_patient_ms: Milliseconds to the first token of patient requests.
        between_ms: Milliseconds between tokens of all requests.
        decision_us: Microseconds that a placement decision took.
        generator_late_ms: Milliseconds by which the generators sent requests too late.
    """

    sent: tuple[int, int]
    goodput_interactive: float
    goodput_patient: float
    goodput_interactive_s: float
    goodput_patient_s: float
    wasted: float
    late: float
    prefix_missing: float
    prefix_surplus: float
    refused_interactive: float
    refused_patient: float
    failed: float
    unfinished_patient: float
    refusal_ms: Quantiles
    first_ms: Quantiles
    first_patient_ms: Quantiles
    between_ms: Quantiles
    decision_us: Quantiles
    generator_late_ms: Quantiles


def _quantiles(times_s, unit_us=1000.0):
    """Returns the `Quantiles` of a series of times.

    Args:
        times_s: Times in seconds.
        unit_us: Unit of the result in microseconds; milliseconds by default.
    """
    histogram = HdrHistogram(MIN_US, MAX_US, SIGNIFICANT_DIGITS)
    for time_s in times_s:
        histogram.record_value(max(MIN_US, int(time_s * 1e6)))
    values = [histogram.get_value_at_percentile(p) / unit_us for p in (50, 95, 99)]
    return Quantiles(*(round(value, 2) for value in values))


def _ratio(part, whole):
    """Returns the rounded ratio, or 0 if the whole is 0."""
    return round(part / whole, 4) if whole else 0.0


def is_within_targets(outcome, first_token_s, between_tokens_s):
    """Returns whether an interactive request was answered within both targets.

    Args:
        outcome: `Outcome` of the request.
        first_token_s: Target for the time to the first token, in seconds.
        between_tokens_s: Target for the mean time between tokens, in seconds.
    """
    if outcome.status != "answered" or outcome.first_s is None:
        return False
    gaps = outcome.gaps_s
    mean_gap = sum(gaps) / len(gaps) if gaps else 0.0
    return outcome.first_s <= first_token_s and mean_gap <= between_tokens_s


def compute_figures(scenario, trace):
    """Returns the `Figures` of a run.

    Args:
        scenario: `Scenario` that was run.
        trace: `Trace` of the run.
    """
    outcomes = trace.outcomes
    interactive = [outcome for outcome in outcomes if outcome.interactive]
    patient = [outcome for outcome in outcomes if not outcome.interactive]
    targets = scenario.first_token_s, scenario.between_tokens_s
    within_targets = [
        outcome for outcome in interactive if is_within_targets(outcome, *targets)
    ]
    answered_patient = [outcome for outcome in patient if outcome.status == "answered"]
    refused = [outcome for outcome in outcomes if outcome.status == "refused"]
    not_refused = [outcome for outcome in outcomes if outcome.status != "refused"]
    prompt_tokens = sum(outcome.prompt_tokens for outcome in not_refused)
    late_tokens = sum(
        outcome.prompt_tokens for outcome in not_refused if outcome.interactive
    )
    late_tokens -= sum(outcome.prompt_tokens for outcome in within_targets)

    def status_share(requests, status):
        return _ratio(
            sum(outcome.status == status for outcome in requests), len(requests)
        )

    def first_token_quantiles(requests):
        return _quantiles(
            outcome.first_s for outcome in requests if outcome.first_s is not None
        )

    return Figures(
        sent=(len(interactive), len(patient)),
        goodput_interactive=_ratio(len(within_targets), len(interactive)),
        goodput_patient=_ratio(len(answered_patient), len(patient)),
        goodput_interactive_s=round(len(within_targets) / scenario.duration_s, 2),
        goodput_patient_s=round(len(answered_patient) / scenario.duration_s, 2),
        wasted=_ratio(trace.wasted_tokens, trace.prefill_tokens),
        late=_ratio(late_tokens, prompt_tokens),
        prefix_missing=_ratio(trace.prefix_missing, prompt_tokens),
        prefix_surplus=_ratio(trace.prefix_surplus, prompt_tokens),
        refused_interactive=status_share(interactive, "refused"),
        refused_patient=status_share(patient, "refused"),
        failed=status_share(outcomes, "failed"),
        unfinished_patient=status_share(patient, "unfinished"),
        refusal_ms=_quantiles(outcome.end_s for outcome in refused),
        first_ms=first_token_quantiles(interactive),
        first_patient_ms=first_token_quantiles(patient),
        between_ms=_quantiles(gap for outcome in outcomes for gap in outcome.gaps_s),
        decision_us=_quantiles((time_us / 1e6 for time_us in trace.decision_us), 1.0),
        generator_late_ms=_quantiles(outcome.late_s for outcome in outcomes),
    )


def format_table(rows):
    """Returns a text table with one line for each run.

    ``good`` and ``ref`` are goodput and refusals of interactive (``int``) and patient
    (``pat``) requests. ``ref p95`` is the time until a refusal, ``ttft`` is the time to
    the first token of interactive requests, and ``itl`` is the time between tokens, all
    in milliseconds; ``dec us`` is the median time of a placement decision.

    Args:
        rows: Pairs of `Scenario` and `Figures`.
    """
    header = (
        f"{'profile':14}{'policy':16}{'fault':9}{'seed':>4}{'good int':>9}"
        f"{'good pat':>9}{'waste':>7}{'late':>7}{'ref int':>8}{'ref pat':>8}"
        f"{'fail':>6}{'ref p95':>8}{'ttft p50':>9}{'p95':>7}{'p99':>7}"
        f"{'itl p95':>8}{'dec us':>7}"
    )
    lines = [header]
    for scenario, figures in rows:
        lines.append(
            f"{scenario.profile.name:14}{scenario.policy:16}{scenario.fault:9}"
            f"{scenario.seed:4}{figures.goodput_interactive:9.3f}"
            f"{figures.goodput_patient:9.3f}{figures.wasted:7.3f}{figures.late:7.3f}"
            f"{figures.refused_interactive:8.3f}{figures.refused_patient:8.3f}"
            f"{figures.failed:6.3f}{figures.refusal_ms.p95:8.0f}"
            f"{figures.first_ms.p50:9.0f}{figures.first_ms.p95:7.0f}"
            f"{figures.first_ms.p99:7.0f}{figures.between_ms.p95:8.1f}"
            f"{figures.decision_us.p50:7.0f}"
        )
    return "\n".join(lines)

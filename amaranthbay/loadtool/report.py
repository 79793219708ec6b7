"""Figures of a run, from its trace."""

from dataclasses import dataclass

from hdrh.histogram import HdrHistogram

__all__ = ["Figures", "Quantiles", "figures", "format_table"]

LOWEST_US = 1
HIGHEST_US = 600_000_000
DIGITS = 3


@dataclass(frozen=True)
class Quantiles:
    """Quantiles of a time, in milliseconds."""

    p50: float
    p95: float
    p99: float


@dataclass(frozen=True)
class Figures:
    """Figures of one run.

    Attributes:
        sent: Interactive and patient requests sent.
        goodput_interactive: Answers within both targets over requests sent.
        goodput_patient: Answered over requests sent.
        goodput_interactive_s: Answers within both targets a second of load.
        goodput_patient_s: Answered patient requests a second of load.
        wasted: Prefill tokens whose KV cache nobody took, over all.
        late: Prompt tokens of interactive requests answered or ended outside a
            target, over all prompt tokens that were not refused.
        refused_interactive: Refused over sent.
        refused_patient: Refused over sent.
        failed: Requests that failed after they may have run, over sent.
        unfinished_patient: Without an end when the run ended, over sent.
        refusal_ms: Time until a refusal.
        first_ms: Time to the first token, interactive.
        first_patient_ms: Time to the first token, patient.
        between_ms: Time between tokens, all requests.
        decision_us: Time of a placement decision, in microseconds.
        generator_late_ms: How late the generators sent the requests.
    """

    sent: tuple[int, int]
    goodput_interactive: float
    goodput_patient: float
    goodput_interactive_s: float
    goodput_patient_s: float
    wasted: float
    late: float
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


def _quantiles(seconds, unit_us=1000.0):
    histogram = HdrHistogram(LOWEST_US, HIGHEST_US, DIGITS)
    for each in seconds:
        histogram.record_value(max(LOWEST_US, int(each * 1e6)))
    values = [histogram.get_value_at_percentile(p) / unit_us for p in (50, 95, 99)]
    return Quantiles(*(round(value, 2) for value in values))


def _share(part, whole):
    return round(part / whole, 4) if whole else 0.0


def is_within_targets(outcome, first_token_s, between_tokens_s):
    """Returns whether an interactive answer met both targets."""
    if outcome.status != "answered" or outcome.first_s is None:
        return False
    gaps = outcome.gaps_s
    mean_gap = sum(gaps) / len(gaps) if gaps else 0.0
    return outcome.first_s <= first_token_s and mean_gap <= between_tokens_s


def figures(scenario, trace):
    """Returns the `Figures` of a run."""
    outcomes = trace.outcomes
    interactive = [each for each in outcomes if each.interactive]
    patient = [each for each in outcomes if not each.interactive]
    targets = scenario.first_token_s, scenario.between_tokens_s
    good = [each for each in interactive if is_within_targets(each, *targets)]
    done = [each for each in patient if each.status == "answered"]
    refused = [each for each in outcomes if each.status == "refused"]
    run = [each for each in outcomes if each.status != "refused"]
    late = sum(each.prompt_tokens for each in run if each.interactive)
    late -= sum(each.prompt_tokens for each in good)

    def count(group, status):
        return _share(sum(each.status == status for each in group), len(group))

    def firsts(group):
        return _quantiles(each.first_s for each in group if each.first_s is not None)

    return Figures(
        sent=(len(interactive), len(patient)),
        goodput_interactive=_share(len(good), len(interactive)),
        goodput_patient=_share(len(done), len(patient)),
        goodput_interactive_s=round(len(good) / scenario.duration_s, 2),
        goodput_patient_s=round(len(done) / scenario.duration_s, 2),
        wasted=_share(trace.wasted_tokens, trace.prefill_tokens),
        late=_share(late, sum(each.prompt_tokens for each in run)),
        refused_interactive=count(interactive, "refused"),
        refused_patient=count(patient, "refused"),
        failed=count(outcomes, "failed"),
        unfinished_patient=count(patient, "unfinished"),
        refusal_ms=_quantiles(each.end_s for each in refused),
        first_ms=firsts(interactive),
        first_patient_ms=firsts(patient),
        between_ms=_quantiles(gap for each in outcomes for gap in each.gaps_s),
        decision_us=_quantiles((each / 1e6 for each in trace.decision_us), 1.0),
        generator_late_ms=_quantiles(each.late_s for each in outcomes),
    )


def format_table(rows):
    """Returns a text table of the runs.

    Args:
        rows: Pairs of `Scenario` and `Figures`.
    """
    head = (
        f"{'profile':14}{'policy':16}{'fault':9}{'seed':>4}{'good int':>9}"
        f"{'good pat':>9}{'waste':>7}{'late':>7}{'ref int':>8}{'ref pat':>8}"
        f"{'fail':>6}{'ref p95':>8}{'ttft p50':>9}{'p95':>7}{'p99':>7}"
        f"{'itl p95':>8}{'dec us':>7}"
    )
    lines = [head]
    for scenario, found in rows:
        lines.append(
            f"{scenario.profile.name:14}{scenario.policy:16}{scenario.fault:9}"
            f"{scenario.seed:4}{found.goodput_interactive:9.3f}"
            f"{found.goodput_patient:9.3f}{found.wasted:7.3f}{found.late:7.3f}"
            f"{found.refused_interactive:8.3f}{found.refused_patient:8.3f}"
            f"{found.failed:6.3f}{found.refusal_ms.p95:8.0f}"
            f"{found.first_ms.p50:9.0f}{found.first_ms.p95:7.0f}"
            f"{found.first_ms.p99:7.0f}{found.between_ms.p95:8.1f}"
            f"{found.decision_us.p50:7.0f}"
        )
    return "\n".join(lines)

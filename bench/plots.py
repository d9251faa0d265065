"""Plots of a swing: demand by kind, roles, and goodput against the bound."""

import matplotlib

matplotlib.use("Agg")
import matplotlib.pyplot as plt  # noqa: E402
from baselines import clairvoyant_work_s  # noqa: E402

BIN_S = 10.0
COLOURS = {
    "prefill": "tab:blue",
    "decode": "tab:orange",
    "mixed": "tab:green",
    "away": "lightgrey",
}


def plot_swing(run, result, folder):
    """Write one PNG for a finished run.

    Parameters
    ----------
    run : Run
        The finished run.
    result : Result
        What it gave.
    folder : pathlib.Path
        Where the file goes.
    """
    figure, axes = plt.subplots(3, 1, figsize=(9, 9), sharex=True)
    _plot_demand(axes[0], run)
    _plot_roles(axes[1], run)
    _plot_goodput(axes[2], run)
    axes[0].set_title(
        f"{result.user} {result.scenario}: goodput {result.goodput_share:.3f} of the "
        f"bound, {result.role_changes} role changes"
    )
    axes[2].set_xlabel("virtual time (s)")
    figure.tight_layout()
    figure.savefig(folder / f"{result.user}-{result.scenario}.png", dpi=80)
    plt.close(figure)


def _bins(run):
    return int(run.end_s / BIN_S) + 1


def _plot_demand(axis, run):
    decode = [0.0] * _bins(run)
    prefill = [0.0] * _bins(run)
    for arrival in run.arrivals:
        place = int(arrival.request.arrived_s / BIN_S)
        out_s = arrival.output_tokens / run.settings.decode_tokens_per_s
        decode[place] += out_s / BIN_S
        prefill[place] += (arrival.work_s - out_s) / BIN_S
    times = [place * BIN_S for place in range(len(decode))]
    axis.stackplot(
        times,
        prefill,
        decode,
        labels=("prompts", "outputs"),
        colors=(COLOURS["prefill"], COLOURS["decode"]),
    )
    axis.axhline(run.user.engines, color="black", linestyle="--", linewidth=0.8)
    axis.set_ylabel("demand (engines)")
    axis.legend(loc="lower right")


def _plot_roles(axis, run):
    times = [at_s for at_s, _ in run.samples]
    rows = []
    for role in COLOURS:
        rows.append([roles.get(role, 0) for _, roles in run.samples])
    axis.stackplot(times, *rows, labels=list(COLOURS), colors=list(COLOURS.values()))
    axis.set_ylabel("engines by role")
    axis.legend(loc="lower right")


def _plot_goodput(axis, run):
    times = [place * BIN_S for place in range(_bins(run))]
    done = [0.0] * len(times)
    for arrival, request, outcome in run.outcomes:
        if outcome.code == "done" and outcome.at_s <= request.deadline_s:
            done[int(outcome.at_s / BIN_S)] += arrival.work_s
    total_s, totals = 0.0, []
    for work_s in done:
        total_s += work_s
        totals.append(total_s)
    bounds = []
    for at_s in times:
        end_s = at_s + BIN_S
        known = [item for item in run.arrivals if item.request.arrived_s < end_s]
        capacity = [(0.0, float(run.user.engines))]
        bounds.append(clairvoyant_work_s(known, capacity, end_s))
    axis.plot(times, bounds, color="black", linestyle="--", label="bound")
    axis.plot(times, totals, color="tab:green", label="on time")
    axis.set_ylabel("work done (engine s)")
    axis.legend(loc="lower right")

"""Plots demand, engine roles, and goodput against the bound, for one run."""

import matplotlib

matplotlib.use("Agg")
import matplotlib.pyplot as plt  # noqa: E402
from baselines import clairvoyant_work_s  # noqa: E402

# Width of the bins of all plots.
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
        The measures of the run.
    folder : pathlib.Path
        Folder for the PNG file.
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


def _bin_count(run):
    return int(run.end_s / BIN_S) + 1


def _plot_demand(axis, run):
    decode = [0.0] * _bin_count(run)
    prefill = [0.0] * _bin_count(run)
    for arrival in run.arrivals:
        index = int(arrival.request.arrived_s / BIN_S)
        out_s = arrival.output_tokens / run.settings.decode_tokens_per_s
        decode[index] += out_s / BIN_S
        prefill[index] += (arrival.work_s - out_s) / BIN_S
    times = [index * BIN_S for index in range(len(decode))]
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
    times = [index * BIN_S for index in range(_bin_count(run))]
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

"""Fits a slope to measured points and tells how well it fits."""

from typing import NamedTuple

import numpy

__all__ = ["LEAST_POINTS", "Fit", "fit_points", "predict"]

LEAST_POINTS = 3


class Fit(NamedTuple):
    """How a quantity grows with the number of hosts.

    Attributes
    ----------
    form : {"power", "linear"}
        ``factor * hosts ** slope``, or ``factor + slope * hosts`` where a point is 0.
    factor, slope : float
        As above.
    error : float
        Root mean square of the residuals as a share of the mean value.
    """

    form: str
    factor: float
    slope: float
    error: float


def fit_points(points):
    """Fit a slope by least squares.

    Parameters
    ----------
    points : list of (int, float)
        Number of hosts and value; at least three.

    Returns
    -------
    Fit

    Raises
    ------
    ValueError
        If there are too few points to tell a slope from noise.
    """
    if len(points) < LEAST_POINTS:
        raise ValueError(f"{len(points)} points; {LEAST_POINTS} are needed")
    hosts = numpy.array([point[0] for point in points], dtype=float)
    values = numpy.array([point[1] for point in points], dtype=float)
    if (values > 0.0).all():
        slope, intercept = numpy.polyfit(numpy.log(hosts), numpy.log(values), 1)
        fit = Fit("power", float(numpy.exp(intercept)), float(slope), 0.0)
    else:
        slope, intercept = numpy.polyfit(hosts, values, 1)
        fit = Fit("linear", float(intercept), float(slope), 0.0)
    residuals = values - numpy.array([predict(fit, size) for size in hosts])
    mean = abs(numpy.mean(values))
    error = float(numpy.sqrt(numpy.mean(residuals**2)) / mean) if mean else 0.0
    return fit._replace(error=error)


def predict(fit, hosts):
    """Return the fitted value at another number of hosts, at least 0."""
    if fit.form == "power":
        return fit.factor * hosts**fit.slope
    return max(0.0, fit.factor + fit.slope * hosts)

"""Fits the growth of a quantity to measured points, with the error of the fit."""

from typing import NamedTuple

import numpy

__all__ = ["MIN_POINTS", "Fit", "fit_points", "predict"]

# Two points fit any slope exactly.
MIN_POINTS = 3


class Fit(NamedTuple):
    """Fitted growth of a quantity with the number of hosts.

    Attributes
    ----------
    form : {"power", "linear"}
        ``factor * hosts ** slope``, or ``factor + slope * hosts`` if any point is 0.
    factor, slope : float
        Parameters of the form, in units of the quantity.
    error : float
        Root mean square of the residuals as a share of the mean value.
    """

    form: str
    factor: float
    slope: float
    error: float


def fit_points(points):
    """Fit the growth by least squares.

    Parameters
    ----------
    points : list of (int, float)
        Number of hosts and value; at least `MIN_POINTS`.

    Returns
    -------
    Fit

    Raises
    ------
    ValueError
        If there are fewer than `MIN_POINTS` points, too few to tell growth from noise.
    """
    if len(points) < MIN_POINTS:
        raise ValueError(f"{len(points)} points; {MIN_POINTS} are needed")
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

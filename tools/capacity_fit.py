"""Fits a slope to measured points and tells how well it fits."""

from typing import NamedTuple

import numpy

LEAST_POINTS = 4


class Line(NamedTuple):
    """One measured line of the capacity page.

    ``slope`` is the cost of one more unit of ``x``; ``error`` is the root mean square
    of the residuals as a share of the mean measured value.
    """

    name: str
    x_unit: str
    y_unit: str
    form: str
    points: list[tuple[float, float]]
    intercept: float
    slope: float
    error: float


def fit_line(name, x_unit, y_unit, points, form="linear"):
    """Fit ``y = intercept + slope * x`` by least squares.

    Parameters
    ----------
    name : str
        The line's name on the page.
    x_unit, y_unit : str
        What is counted along both axes.
    points : list of (float, float)
        At least four measured points.
    form : {"linear", "log2"}
        Whether x itself or its binary logarithm is fitted.

    Returns
    -------
    Line
        The fit.

    Raises
    ------
    ValueError
        If there are too few points to tell a slope from noise.
    """
    if len(points) < LEAST_POINTS:
        raise ValueError(f"{name} has {len(points)} points; {LEAST_POINTS} are needed")
    x = numpy.array([point[0] for point in points], dtype=float)
    y = numpy.array([point[1] for point in points], dtype=float)
    scaled = numpy.log2(x) if form == "log2" else x
    slope, intercept = numpy.polyfit(scaled, y, 1)
    residuals = y - (intercept + slope * scaled)
    error = float(numpy.sqrt(numpy.mean(residuals**2)) / abs(numpy.mean(y)))
    return Line(
        name, x_unit, y_unit, form, points, float(intercept), float(slope), error
    )


def predict(line, x):
    """Return the fitted value at another size."""
    scaled = numpy.log2(x) if line.form == "log2" else x
    return float(line.intercept + line.slope * scaled)


def format_line(line):
    """Return a line as text: its points, slope and error."""
    points = " ".join(f"{x:g}:{y:.4g}" for x, y in line.points)
    x_unit = f"log2({line.x_unit})" if line.form == "log2" else line.x_unit
    return (
        f"{line.name}: {line.slope:.4g} {line.y_unit} per {x_unit}, "
        f"intercept {line.intercept:.4g}, error {100 * line.error:.1f}% [{points}]"
    )

"""Lines through measured points, and whether they are lines."""

# A step between the last two sizes that differs this much from the step before it is a bend.
BEND_FACTOR = 1.5
# Growth below this share of the value is noise, not a slope to judge.
LEAST_GROWTH_SHARE = 0.2
# A point further from the line than this share of its value is not on it.
MOST_DEVIATION_SHARE = 0.3


def fit(unit, per, sizes, values):
    """Least squares with weights that count each size's relative error alike."""
    weights = [1 / max(value, 1e-12) ** 2 for value in values]
    total = sum(weights)
    mean_size = sum(w * n for w, n in zip(weights, sizes)) / total
    mean_value = sum(w * v for w, v in zip(weights, values)) / total
    spread = sum(w * (n - mean_size) ** 2 for w, n in zip(weights, sizes))
    joint = sum(w * (n - mean_size) * (v - mean_value) for w, n, v in zip(weights, sizes, values))
    slope = joint / spread
    base = mean_value - slope * mean_size
    return {"unit": unit, "per": per, "sizes": sizes, "values": [round(value, 4) for value in values],
            "base": round(base, 6), "slope": round(slope, 8), "bends": bends(sizes, values, base, slope)}


def bends(sizes, values, base, slope):
    """Whether the points leave the line: up or down by how the last step compares with that before, or uneven."""
    last = (values[-1] - values[-2]) / (sizes[-1] - sizes[-2])
    before = (values[-2] - values[-3]) / (sizes[-2] - sizes[-3])
    if values[-1] - values[-2] > LEAST_GROWTH_SHARE * values[-1]:
        if last > max(before, 0) * BEND_FACTOR:
            return "up"
        if last < before / BEND_FACTOR:
            return "down"
    far = any(abs(base + slope * n - v) > MOST_DEVIATION_SHARE * abs(v) for n, v in zip(sizes, values))
    return "uneven" if far else "no"

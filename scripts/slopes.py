"""Lines through measured points, and whether they are lines."""

# A step between the last two sizes that differs this much from the step before it is a bend.
BEND_FACTOR = 1.5
# Growth below this share of the value is noise, not a slope to judge.
LEAST_GROWTH_SHARE = 0.2


def fit(unit, per, sizes, values):
    """Least squares with weights that count each size's relative error alike."""
    weights = [1 / max(value, 1e-12) ** 2 for value in values]
    total = sum(weights)
    mean_size = sum(w * n for w, n in zip(weights, sizes)) / total
    mean_value = sum(w * v for w, v in zip(weights, values)) / total
    spread = sum(w * (n - mean_size) ** 2 for w, n in zip(weights, sizes))
    joint = sum(w * (n - mean_size) * (v - mean_value) for w, n, v in zip(weights, sizes, values))
    slope = joint / spread
    return {"unit": unit, "per": per, "sizes": sizes, "values": [round(value, 4) for value in values],
            "base": round(mean_value - slope * mean_size, 6), "slope": round(slope, 8), "bends": bends(sizes, values)}


def bends(sizes, values):
    """Up, down or no: how the last step's slope compares with that of the step before."""
    if values[-1] - values[-2] < LEAST_GROWTH_SHARE * values[-1]:
        return "no"
    last = (values[-1] - values[-2]) / (sizes[-1] - sizes[-2])
    before = (values[-2] - values[-3]) / (sizes[-2] - sizes[-3])
    if before <= 0 or last > before * BEND_FACTOR:
        return "up"
    return "down" if last < before / BEND_FACTOR else "no"

"""The promises, checked from what callers and endpoints saw."""
from callers import PROMISES, expected_body
from engines import COLD_PER_SECOND, COLD_SECONDS

COLD_BOUND = COLD_PER_SECOND * 1.5 + 5
EVACUATE_SECONDS = 5.0
DRAIN_SECONDS = 2.0
REVOKE_SECONDS = 5.0


def answers(outcomes, runs):
    for outcome in outcomes:
        ran = runs.get(outcome.attempt, [])
        if outcome.kind == "post" and len(ran) > 1:
            yield f"TWICE {outcome.attempt} ran {len(ran)} times"
        if outcome.kind == "post" and outcome.status in PROMISES and ran:
            yield f"REFUSED {outcome.attempt} was answered {outcome.status} and ran"
        if outcome.served and outcome.body != expected_body(outcome):
            yield f"MIXED {outcome.attempt} ({outcome.kind}) got {outcome.body[:80]!r} of {len(outcome.body)} bytes"
        if outcome.served and not ran:
            yield f"MIXED {outcome.attempt} was served and never ran"
        if any(run.key_shown or run.team != "team-" + outcome.key.split("-")[0] for run in ran):
            yield f"UNASKED {outcome.attempt} with key {outcome.key} ran for {[run.team for run in ran]}"


def revoked_keys(outcomes, runs, revoked):
    for outcome in outcomes:
        late = outcome.key in revoked and outcome.sent_at > revoked[outcome.key] + REVOKE_SECONDS
        if late and runs.get(outcome.attempt):
            yield f"CONFIG {outcome.attempt} ran {outcome.sent_at - revoked[outcome.key]:.1f} s after its key was taken away"


def left_alone(outcomes, runs, store_steady, zones_out, leaving):
    """Zones out and endpoints that leave get nothing new from processes that were in touch."""
    for outcome in outcomes:
        for run in runs.get(outcome.attempt, []):
            if not outcome.member.in_touch(run.at) or not store_steady(run.at):
                continue
            for zone, begin, end in zones_out:
                if run.zone == zone and begin + EVACUATE_SECONDS < run.at < end:
                    yield f"EVAC {outcome.attempt} ran in {zone} {run.at - begin:.1f} s after it was taken out"
            if run.endpoint in leaving and run.at > leaving[run.endpoint] + DRAIN_SECONDS:
                yield f"DRAIN {outcome.attempt} ran at {run.endpoint} {run.at - leaving[run.endpoint]:.1f} s after it said it leaves"


def cold_rates(starts, runs):
    arrivals = {}
    for ran in runs.values():
        for run in ran:
            arrivals.setdefault(run.endpoint, []).append(run.at)
    for endpoint, started in starts.items():
        times = sorted(at for at in arrivals.get(endpoint, []) if at < started + COLD_SECONDS)
        for first, at in enumerate(times):
            count = sum(1 for other in times[first:] if other < at + 1)
            if count > COLD_BOUND:
                yield f"FAILBACK {endpoint} got {count} requests in a second while it was cold"
                break

"""How many requests a new version of a service may get before it is trusted.

It answers this pattern of load: a version is rolled out under full traffic and
turns out to be bad, at once, late, under load or on one route. The requests
that it gets by then are bounded as a share of all requests of the service.

Each host sends the same share of its own requests to the new version, so that
the bound holds for all hosts together without counting, also while hosts come
and go. The last step, in which all requests go to the new version, is bounded
in time: it lasts no longer than the requests that are left allow.
"""

import attrs

# Part of the allowed requests that is planned with. The rest covers hosts
# that act on the end of a step late, and traffic that falls before the
# deadline.
PLANNED_SHARE = 0.9
# Part of the planned requests that is kept for the time before the last step,
# in which most bad versions show.
RAMP_SHARE = 0.25
# Share of the requests before the rate of requests is known.
FIRST_SHARE = 0.02
# Time in which the first answers are judged before the share grows, seconds.
FIRST_SECONDS = 1.0
# Largest share of the requests before the last step.
MAX_RAMP_SHARE = 0.25
# Part of the remaining requests that is expected to come. Traffic may fall.
EXPECTED_TRAFFIC_SHARE = 0.7
# Time before the deadline at which the rollout is to be complete, seconds. It
# covers the write to the platform's store and one retry.
COMPLETION_MARGIN_SECONDS = 0.5


@attrs.frozen
class RolloutLimits:
    """Bound on the requests that an unproved version gets.

    Of all requests to its service between the order and the deadline, it may
    get `exposure_share`, and `extra_requests` more.
    """

    exposure_share: float
    extra_requests: float

    def count_planned(self, requests: float) -> float:
        """Return how many of a service's requests are planned with."""
        return PLANNED_SHARE * (
            self.exposure_share * requests + self.extra_requests
        )


@attrs.frozen
class Traffic:
    """Requests to a service since the order of a rollout.

    `requests` counts those to any version, `exposed` those to the new one, and
    `rate` is the recent number of requests a second.
    """

    requests: int
    exposed: int
    rate: float


@attrs.frozen
class Plan:
    """The share of requests for the new version until the last step.

    The last step begins at `switch_at`, in seconds of `clock.read_time`. From
    then on all requests go to the new version, also between the end of the
    rollout and its deadline.
    """

    share: float
    switch_at: float


def plan_exposure(
    limits: RolloutLimits,
    traffic: Traffic,
    ordered_at: float,
    deadline: float,
    switch_seconds: float,
    now: float,
) -> Plan:
    """Return the share of requests that the new version gets from now on.

    `switch_seconds` is how long the last step should last, so that runs at the
    old servers can end. It is cut if the new version could get too many
    requests in it. All instants are in seconds of `clock.read_time`.

        plan = plan_exposure(limits, traffic, 0.0, 12.0, 1.0, now=3.0)
        plan.share  # 0.05
    """
    window_seconds = switch_seconds + COMPLETION_MARGIN_SECONDS
    expected = traffic.requests + EXPECTED_TRAFFIC_SHARE * traffic.rate * max(
        0.0, deadline - now
    )
    planned = limits.count_planned(expected)
    if traffic.rate > 0:
        allowed = max(0.0, planned - traffic.exposed)
        for_switch = min(allowed, (1 - RAMP_SHARE) * planned)
        window_seconds = min(window_seconds, for_switch / traffic.rate)
    switch_at = deadline - window_seconds
    left_seconds = switch_at - now
    if left_seconds <= 0:
        return Plan(0.0, switch_at)
    if traffic.rate <= 0 or now < ordered_at + FIRST_SECONDS:
        return Plan(FIRST_SHARE, switch_at)
    for_ramp = planned - traffic.exposed - traffic.rate * window_seconds
    share = for_ramp / (traffic.rate * left_seconds)
    return Plan(min(MAX_RAMP_SHARE, max(0.0, share)), switch_at)

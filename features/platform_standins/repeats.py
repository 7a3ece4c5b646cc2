"""Checks the fleet's retry budget, from arrivals at replicas and requests of callers."""


def repeated(requests):
    """Return the sorted times at which replicas received a request id for a further time."""
    seen, found = set(), []
    for at_s, identity in sorted((each.at_s, each.identity) for each in requests):
        if identity in seen:
            found.append(at_s)
        seen.add(identity)
    return found


def worst_window(repeats, sent, *, ratio, slack, window):
    """Return the largest excess of retries over the budget of any window, and the window's end.

    A window's budget is ``slack`` plus ``ratio`` times the requests sent in the window, in the
    one before it or in the one half a window earlier, whichever has the most. All times have
    the same unit. The excess is negative if no window exceeds its budget.
    """
    worst, worst_end = -float(slack), 0.0
    for end in repeats:
        count = count_within(repeats, end, window)
        max_sent = max(count_within(sent, end - shift, window) for shift in (0, window / 2, window))
        above = count - ratio * max_sent - slack
        if above > worst:
            worst, worst_end = above, end
    return worst, worst_end


def count_within(times, end, window):
    return sum(1 for at in times if end - window < at <= end)

"""What the fleet's retry budget allows, judged from arrivals and from what callers sent."""


def repeated(requests):
    """Return when replicas got requests that one of them had got before, in order."""
    seen, found = set(), []
    for at_s, identity in sorted((each.at_s, each.identity) for each in requests):
        if identity in seen:
            found.append(at_s)
        seen.add(identity)
    return found


def worst_window(repeats, sent, *, ratio, slack, window):
    """Return by how much repeats exceed what some window allows at most, and its end.

    The requests that count are those of the window, of the one before it or of the one half a
    window earlier, whichever has the most. All times are of one unit.
    """
    worst, worst_end = -float(slack), 0.0
    for end in repeats:
        count = within(repeats, end, window)
        most = max(within(sent, end - shift, window) for shift in (0, window / 2, window))
        above = count - ratio * most - slack
        if above > worst:
            worst, worst_end = above, end
    return worst, worst_end


def within(times, end, window):
    return sum(1 for at in times if end - window < at <= end)

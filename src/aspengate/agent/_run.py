"""Runs an accepted dispatch at the upstream, and produces its usage record."""

from aspengate.adapters import TokenUsage, Upstream, UpstreamRequest
from aspengate.agent._answers import KeptAnswer
from aspengate.clock import Clock
from aspengate.errors import AspengateError, ErrorKind
from aspengate.transport import Dispatch, Done, Header, LoadReport, UsageRecord

_MIN_FAILURE_STATUS = 500


def run_dispatch(dispatch: Dispatch, answer: KeptAnswer, upstream: Upstream, clock: Clock) -> Done:
    """Run a dispatch to its end, append the body to ``answer``, and return the final frame.

    An error of NO_UPSTREAM in the frame means that the run did not start. A response that the
    upstream failed costs nothing; a cancelled one costs the tokens generated until then.
    """
    error = ""
    usage = TokenUsage()
    try:
        response = upstream.send(_upstream_request(dispatch, clock.now_ms()))
        headers = tuple(Header(name, value) for name, value in response.headers)
        answer.start(response.status, headers)
        for data in response.chunks:
            if answer.cancelled:
                break
            answer.append(data)
        response.close()
        usage = response.usage
        if response.status >= _MIN_FAILURE_STATUS:
            error = ErrorKind.UPSTREAM_FAILED.value
    except AspengateError as failure:
        error = failure.kind.value
    cost = 0 if error else cost_of(dispatch, usage)
    record = UsageRecord(
        request_id=dispatch.request_id,
        block_id=dispatch.block_id,
        sequence=dispatch.sequence,
        holder=dispatch.holder,
        router_session=dispatch.router_session,
        budget=dispatch.budget,
        client_account=dispatch.client_account,
        service=dispatch.service,
        input_tokens=usage.input_tokens,
        output_tokens=usage.output_tokens,
        cost=cost,
        finished_ms=clock.now_ms(),
    )
    return Done(
        stream=dispatch.stream,
        router_session=dispatch.router_session,
        length=answer.length,
        usage=record,
        load=LoadReport(),
        error=error,
    )


def cost_of(dispatch: Dispatch, usage: TokenUsage) -> int:
    """Return the cost in credits, at most the reserved ``dispatch.upper_bound``."""
    cost = (
        dispatch.price_call
        + dispatch.price_input * usage.input_tokens
        + dispatch.price_output * usage.output_tokens
    )
    return min(cost, dispatch.upper_bound)


def _upstream_request(dispatch: Dispatch, now_ms: int) -> UpstreamRequest:
    headers = tuple((header.name, header.value) for header in dispatch.headers)
    return UpstreamRequest(
        method=dispatch.method,
        path=dispatch.path,
        headers=(*headers, ("X-Request-Id", dispatch.request_id)),
        body=dispatch.body,
        priority=dispatch.priority,
        timeout_ms=max(1.0, dispatch.deadline_ms - now_ms),
    )

"""Behaviours of a replica that responds while the request is still being sent."""

import socket

from platform_standins.replica import LONG_UNFRAMED_BYTES, behaviour, chunk, event

PART = b"p" * 1_000
EVENTS_BEFORE_RESET = 2


@behaviour("early, unframed part, reset")
def reset_after_part(replica, connection, request):
    replica.run(request)
    connection.sendall(replica.head(request) + PART)
    replica.reset(connection)
    return False


@behaviour("early, unframed and long part, reset")
def reset_after_long_part(replica, connection, request):
    """Send more than routers hold back, as far as the connection takes it before the reset."""
    replica.run(request)
    connection.sendall(replica.head(request) + b"p" * LONG_UNFRAMED_BYTES)
    replica.reset(connection)
    return False


@behaviour("early, unframed part, closed")
def close_after_part(replica, connection, request):
    """Close the connection with unread data, which the kernel turns into a reset."""
    replica.run(request)
    connection.sendall(replica.head(request) + PART)
    connection.recv(1, socket.MSG_PEEK)
    return False


@behaviour("early, half of its length, reset")
def reset_after_half(replica, connection, request):
    replica.run(request)
    connection.sendall(replica.head(request, length=2 * len(PART)) + PART)
    replica.reset(connection)
    return False


@behaviour("early, its whole length, reset")
def reset_after_whole_length(replica, connection, request):
    replica.run(request)
    connection.sendall(replica.head(request, length=len(PART)) + PART)
    replica.reset(connection)
    return False


def send_chunks_and_reset(replica, connection, request, end):
    replica.run(request)
    head = replica.head(request, extra=["Transfer-Encoding: chunked"])
    connection.sendall(head + chunk(PART) + end)
    replica.reset(connection)


@behaviour("early, chunks without their end, reset")
def reset_within_chunks(replica, connection, request):
    send_chunks_and_reset(replica, connection, request, b"")
    return False


@behaviour("early, whole chunks, reset")
def reset_after_chunks(replica, connection, request):
    send_chunks_and_reset(replica, connection, request, b"0\r\n\r\n")
    return False


@behaviour("early, unframed whole, ended, then reset")
def reset_after_end(replica, connection, request):
    """End the response in an orderly way, and reset the connection afterwards."""
    replica.run(request)
    connection.sendall(replica.head(request) + PART)
    connection.shutdown(socket.SHUT_WR)
    replica.reset(connection)
    return False


@behaviour("early, unframed events, reset")
def reset_after_events(replica, connection, request):
    replica.run(request)
    first = int(request.header("Last-Event-Id") or 0) + 1
    events = [event(replica, request, first + n) for n in range(EVENTS_BEFORE_RESET)]
    head = replica.head(request, extra=["Content-Type: text/event-stream"])
    connection.sendall(head + b"".join(events))
    replica.reset(connection)
    return False

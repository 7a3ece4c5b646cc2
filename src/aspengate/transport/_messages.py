"""The typed messages that routers and agents exchange, in MessagePack."""

import msgspec

from aspengate.errors import AspengateError, ErrorKind


class Message(msgspec.Struct, frozen=True, array_like=True, tag=True):
    """The base of every message; ``array_like`` keeps field names off the wire."""


class Header(msgspec.Struct, frozen=True, array_like=True):
    """One HTTP header line."""

    name: str
    value: str


class ClaimTicket(msgspec.Struct, frozen=True, array_like=True):
    """The right to start one keyed request, given once by the owner of its claim shard.

    An agent honours it until ``valid_until_ms`` by its own clock, and not at all once the
    session of its ``owner`` is fenced. ``key`` begins with the client account.
    """

    key: str
    shard: int
    owner: str
    valid_until_ms: int


class SeenClaim(msgspec.Struct, frozen=True, array_like=True):
    """A claimed request that an agent has started, told to the next owner of its shard."""

    key: str
    shard: int
    request_id: str
    agent: str


class Dispatch(Message, frozen=True):
    """A request sent from a router to the agent that is to run it.

    ``block_id``, ``sequence`` and ``upper_bound`` say whose money it spends;
    ``honour_until_ms`` is the last instant, by the agent's clock, at which it may start.
    """

    stream: int
    router_session: str
    reply_to: str
    request_id: str
    service: str
    budget: str
    client_account: str
    holder: str
    block_id: str
    sequence: int
    upper_bound: int
    honour_until_ms: int
    deadline_ms: int
    priority: int
    method: str
    path: str
    headers: tuple[Header, ...]
    body: bytes
    price_input: int
    price_output: int
    price_call: int
    claim: ClaimTicket | None = None


class Cancel(Message, frozen=True):
    """The caller of a stream went away; the agent may stop the run."""

    stream: int
    router_session: str


class Join(Message, frozen=True):
    """Asks the agent to send the answer kept under a claim key, from its first byte."""

    stream: int
    router_session: str
    reply_to: str
    key: str


class Started(Message, frozen=True):
    """The upstream has answered with a status; the body follows in chunks."""

    stream: int
    router_session: str
    status: int
    headers: tuple[Header, ...]


class Chunk(msgspec.Struct, frozen=True, array_like=True):
    """A piece of one stream's body that starts at byte ``position``."""

    stream: int
    position: int
    data: bytes


class Chunks(Message, frozen=True):
    """Pieces of many streams, batched into one message."""

    router_session: str
    chunks: tuple[Chunk, ...]


class LoadReport(msgspec.Struct, frozen=True, array_like=True):
    """What an agent says of its upstream: requests running and waiting, and when (ms)."""

    running: int = 0
    waiting: int = 0
    queued_tokens: int = 0
    reported_ms: int = 0
    leaving: bool = False


class UsageRecord(msgspec.Struct, frozen=True, array_like=True):
    """What one request cost, in credits; kept by the agent until its block is settled.

    ``block_id`` and ``sequence`` identify it: a record is counted once in its block.
    """

    request_id: str
    block_id: str
    sequence: int
    holder: str
    router_session: str
    budget: str
    client_account: str
    service: str
    input_tokens: int
    output_tokens: int
    cost: int
    finished_ms: int


class Done(Message, frozen=True):
    """The stream is complete: ``length`` bytes of body were sent."""

    stream: int
    router_session: str
    length: int
    usage: UsageRecord
    load: LoadReport
    error: str = ""


class Refused(Message, frozen=True):
    """The agent did not run the request and will not."""

    stream: int
    router_session: str
    kind: str
    reason: str
    load: LoadReport


class DrawRequest(Message, frozen=True):
    """A router asks its region's steward for a block of ``needed`` credits or more.

    One that is ``ahead`` of demand does not make the steward ask others for money.
    """

    call: int
    reply_to: str
    router_session: str
    budget: str
    needed: int
    wanted: int
    ahead: bool = False


class DrawReply(Message, frozen=True):
    """A block of money, or why there is none.

    ``amount`` is 0 where ``refusal`` names an error kind.
    """

    call: int
    budget: str
    block_id: str = ""
    holder: str = ""
    amount: int = 0
    honour_until_ms: int = 0
    steward_address: str = ""
    refusal: str = ""


class BlockClosed(Message, frozen=True):
    """A router's final account of one block; it is repeated until acknowledged.

    ``bills`` maps ``client_account|service`` to credits; their sum is the block's spending.
    """

    reply_to: str
    router_session: str
    block_id: str
    holder: str
    budget: str
    bills: dict[str, int]
    items: tuple[UsageRecord, ...] = ()


class BlockTrimmed(Message, frozen=True):
    """A router promises to spend at most ``amount`` credits of a block that it keeps open."""

    block_id: str
    holder: str
    budget: str
    amount: int


class BlocksSettled(Message, frozen=True):
    """These blocks are accounted for in the store; their records may be forgotten."""

    block_ids: tuple[str, ...]


class Recall(Message, frozen=True):
    """A steward in need asks another to return what it can spare of a budget."""

    budget: str
    needed: int


class Fence(Message, frozen=True):
    """No agent may start work any more under money held or drawn by ``session``."""

    call: int
    reply_to: str
    session: str


class RunningRequest(msgspec.Struct, frozen=True, array_like=True):
    """A request that is still running under a fenced session, with its upper bound."""

    block_id: str
    sequence: int
    holder: str
    router_session: str
    upper_bound: int


class FenceAck(Message, frozen=True):
    """A process's promise, with what it knows of the fenced session's spending."""

    call: int
    sender: str
    session: str
    records: tuple[UsageRecord, ...] = ()
    running: tuple[RunningRequest, ...] = ()
    closed: tuple[BlockClosed, ...] = ()
    claims: tuple[SeenClaim, ...] = ()


class ClaimRequest(Message, frozen=True):
    """Asks the owner of a claim shard for the right to start one keyed request.

    ``digest`` is of the request's content, so that a key can't be used for another one.
    """

    call: int
    reply_to: str
    shard: int
    key: str
    digest: str
    born_ms: int
    request_id: str
    agent: str


class ClaimReply(Message, frozen=True):
    """The owner's decision: ``granted``, ``joined``, or an error kind."""

    call: int
    decision: str
    ticket: ClaimTicket | None = None
    agent: str = ""


class ReleaseClaim(Message, frozen=True):
    """The agent truly refused the claimed request, so its key is free again."""

    shard: int
    key: str
    request_id: str


class Heartbeat(Message, frozen=True):
    """An agent's or router's sign of life to a peer, with the table version in force."""

    sender: str
    reply_to: str
    session: str
    load: LoadReport
    table_version: int


AnyMessage = (
    Dispatch
    | Cancel
    | Join
    | Started
    | Chunks
    | Done
    | Refused
    | DrawRequest
    | DrawReply
    | BlockClosed
    | BlockTrimmed
    | BlocksSettled
    | Recall
    | Fence
    | FenceAck
    | ClaimRequest
    | ClaimReply
    | ReleaseClaim
    | Heartbeat
)

_ENCODER = msgspec.msgpack.Encoder()
_DECODER: msgspec.msgpack.Decoder[AnyMessage] = msgspec.msgpack.Decoder(AnyMessage)


def encode_message(message: Message) -> bytes:
    """Return the wire form of a message."""
    return _ENCODER.encode(message)


def decode_message(data: bytes) -> Message:
    """Return the message that ``data`` holds.

    Raises AspengateError of kind BAD_REQUEST where it holds none.
    """
    try:
        return _DECODER.decode(data)
    except (msgspec.MsgspecError, ValueError, RecursionError) as error:
        raise AspengateError(ErrorKind.BAD_REQUEST, str(error), where="peer message") from error

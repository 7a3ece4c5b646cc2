"""The typed messages that routers and agents exchange, encoded as MessagePack."""

import msgspec

from aspengate.errors import AspengateError, ErrorKind


class Message(msgspec.Struct, frozen=True, array_like=True, tag=True):
    """The base class of every message.

    A message is encoded as an array of its class name and its field values; ``array_like``
    keeps the field names off the wire.
    """


class Header(msgspec.Struct, frozen=True, array_like=True):
    """Holds one HTTP header field."""

    name: str
    value: str


class ClaimTicket(msgspec.Struct, frozen=True, array_like=True):
    """Grants the right to start one request that carries an idempotency key.

    The owner of the key's claim shard issues one ticket per key. An agent accepts it until
    ``valid_until_ms`` by the agent's clock, unless the session of its ``owner`` is fenced.
    ``key`` begins with the client account.
    """

    key: str
    shard: int
    owner: str
    valid_until_ms: int


class SeenClaim(msgspec.Struct, frozen=True, array_like=True):
    """Reports a claimed request that an agent has started to the next owner of its shard."""

    key: str
    shard: int
    request_id: str
    agent: str


class Dispatch(Message, frozen=True):
    """Sends a request from a router to the agent that runs it.

    The request spends at most ``upper_bound`` credits of the block ``block_id``, in which
    ``sequence`` identifies it. ``honour_until_ms`` is the latest time, by the agent's clock, at
    which it may start.
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
    """Reports that the caller of a stream has disconnected; the agent may stop the run."""

    stream: int
    router_session: str


class Join(Message, frozen=True):
    """Asks the agent to send the response stored under a claim key, from its first byte."""

    stream: int
    router_session: str
    reply_to: str
    key: str


class Started(Message, frozen=True):
    """Carries the status and headers of the upstream's response; the body follows in chunks."""

    stream: int
    router_session: str
    status: int
    headers: tuple[Header, ...]


class Chunk(msgspec.Struct, frozen=True, array_like=True):
    """Holds the part of one stream's body that starts at byte ``position``."""

    stream: int
    position: int
    data: bytes


class Chunks(Message, frozen=True):
    """Carries chunks of many streams, batched into one message."""

    router_session: str
    chunks: tuple[Chunk, ...]


class LoadReport(msgspec.Struct, frozen=True, array_like=True):
    """Holds the load of an agent's upstream at ``reported_ms``.

    ``running`` and ``waiting`` are numbers of requests. A sender that is ``leaving`` accepts no
    new requests.
    """

    running: int = 0
    waiting: int = 0
    queued_tokens: int = 0
    reported_ms: int = 0
    leaving: bool = False


class UsageRecord(msgspec.Struct, frozen=True, array_like=True):
    """Holds the cost of one request in credits.

    The agent keeps the record until its block is settled. ``block_id`` and ``sequence`` identify
    a record, so that it is counted only once in its block.
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
    """Reports that the stream is complete and that ``length`` bytes of its body were sent."""

    stream: int
    router_session: str
    length: int
    usage: UsageRecord
    load: LoadReport
    error: str = ""


class Refused(Message, frozen=True):
    """Reports that the agent has not run the request and will not run it."""

    stream: int
    router_session: str
    kind: str
    reason: str
    load: LoadReport


class DrawRequest(Message, frozen=True):
    """Asks the steward of the router's region for a block of at least ``needed`` credits.

    A request that is sent ``ahead`` of demand does not make the steward recall credits from
    others.
    """

    call: int
    reply_to: str
    router_session: str
    budget: str
    needed: int
    wanted: int
    ahead: bool = False


class DrawReply(Message, frozen=True):
    """Grants a block of ``amount`` credits, or refuses it.

    If ``refusal`` names an error kind, ``amount`` is 0.
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
    """Reports a router's final spending of one block; it is resent until acknowledged.

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
    """Commits the router to spend at most ``amount`` credits of a block that it keeps open."""

    block_id: str
    holder: str
    budget: str
    amount: int


class BlocksSettled(Message, frozen=True):
    """Reports blocks whose spending is in the store; their usage records may be deleted."""

    block_ids: tuple[str, ...]


class Recall(Message, frozen=True):
    """Asks a steward or router to return the credits of a budget that it can spare.

    ``needed`` is the amount of the draw that the sending steward can't cover, or 0 if it closes.
    """

    budget: str
    needed: int


class Fence(Message, frozen=True):
    """Forbids agents to start any more work paid from credits that ``session`` holds or drew."""

    call: int
    reply_to: str
    session: str


class RunningRequest(msgspec.Struct, frozen=True, array_like=True):
    """Holds a request that is still running under a fenced session, and its upper bound."""

    block_id: str
    sequence: int
    holder: str
    router_session: str
    upper_bound: int


class FenceAck(Message, frozen=True):
    """Confirms a fence, with the sender's records of the fenced session's spending and claims."""

    call: int
    sender: str
    session: str
    records: tuple[UsageRecord, ...] = ()
    running: tuple[RunningRequest, ...] = ()
    closed: tuple[BlockClosed, ...] = ()
    claims: tuple[SeenClaim, ...] = ()


class ClaimRequest(Message, frozen=True):
    """Asks the owner of a claim shard for the right to start the request of one key.

    ``digest`` is a hash of the request's content; it prevents the use of a key for a different
    request. ``born_ms`` is the creation time of the key.
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
    """Carries the owner's ``decision``: ``granted``, ``joined``, or an error kind."""

    call: int
    decision: str
    ticket: ClaimTicket | None = None
    agent: str = ""


class ReleaseClaim(Message, frozen=True):
    """Reports that the claimed request did not start, so its key can be granted again."""

    shard: int
    key: str
    request_id: str


class Heartbeat(Message, frozen=True):
    """Reports that an agent or router is alive, with the table version that it applies."""

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
    """Return the MessagePack encoding of a message."""
    return _ENCODER.encode(message)


def decode_message(data: bytes) -> Message:
    """Return the message that ``data`` encodes.

    Raises AspengateError of kind BAD_REQUEST if ``data`` is not a valid message.
    """
    try:
        return _DECODER.decode(data)
    except (msgspec.MsgspecError, ValueError, RecursionError) as error:
        raise AspengateError(ErrorKind.BAD_REQUEST, str(error), where="peer message") from error

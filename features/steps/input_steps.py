"""Steps for invalid input, message encoding, table files and generated pages."""

import subprocess
import sys
import tempfile
from pathlib import Path

from behave import then, when
from hypothesis import given as for_all
from hypothesis import strategies as st

from aspengate.cli import documentation_pages
from aspengate.errors import AspengateError, ErrorKind
from aspengate.router import RouterSettings
from aspengate.settings import load_settings
from aspengate.table import (
    BudgetRow,
    ClientAccountRow,
    OperatorRow,
    ServiceRow,
    UpstreamRow,
    hash_key,
    rows_from_csv,
    rows_to_csv,
)
from aspengate.transport import (
    BlockClosed,
    BlocksSettled,
    Chunk,
    Chunks,
    ClaimTicket,
    DrawRequest,
    FenceAck,
    Header,
    Heartbeat,
    LoadReport,
    Sealer,
    Started,
    decode_message,
    encode_message,
)
from budget_world import make_dispatch

DOCS = Path(__file__).parents[2] / "docs"


@when("any bytes are decoded as a peer message")
def any_bytes(context):
    valid = encode_message(make_dispatch())

    @for_all(st.binary(max_size=200), st.integers(0, len(valid) - 1), st.integers(0, 255))
    def check(data, place, value):
        broken = valid[:place] + bytes([value]) + valid[place + 1 :]
        for attempt in (data, broken, valid[:place]):
            try:
                decode_message(attempt)
            except AspengateError as error:
                assert error.kind is ErrorKind.BAD_REQUEST

    context.check = check


@then("the result is a message or an error of kind bad_request")
@then("the rows are the same")
@then("the result is rows or an error with a location")
def run_check(context):
    context.check()


@when("messages of every kind are encoded and decoded")
def round_trip(context):
    claim = ClaimTicket("key", 1, "owner", 5)
    context.messages = [
        make_dispatch(headers=(Header("a", "b"),), body=b"\0\xff", claim=claim),
        Started(1, "router", 200, (Header("a", "b"),)),
        Chunks("router", (Chunk(1, 0, b"x"), Chunk(2, 7, b""))),
        DrawRequest(1, "address", "router", "budget", 10, 20),
        BlockClosed("address", "router", "block", "holder", "budget", {"a|b": 3}),
        BlocksSettled(("block",)),
        FenceAck(1, "agent", "session"),
        Heartbeat("name", "address", "session", LoadReport(1, 2, 3, 4, True), 7),
    ]


@then("each is equal to the original")
def equal_to_original(context):
    for message in context.messages:
        assert decode_message(encode_message(message)) == message


@when("one message is sealed with an old secret and one with an unknown secret")
def sealed(context):
    rotated = Sealer(("new", "old"))
    context.opened = rotated.open(Sealer(("old",)).seal(b"payload"))
    try:
        rotated.open(Sealer(("unknown",)).seal(b"payload"))
    except AspengateError as error:
        context.error = error


@then("the first is opened and the second is rejected")
def rotated(context):
    assert context.opened == b"payload"
    assert context.error.kind is ErrorKind.UNAUTHENTICATED


NAMES = st.from_regex(r"[A-Za-z0-9][A-Za-z0-9._/:-]{0,20}", fullmatch=True)
WHOLE = st.integers(0, 2**50)
HASHES = st.lists(st.text(max_size=5).map(hash_key), max_size=2, unique=True).map(" ".join)
PRIORITIES = st.integers(-10, 10)
ROWS = st.one_of(
    st.builds(BudgetRow, name=NAMES, limit=WHOLE),
    st.builds(
        ClientAccountRow,
        name=NAMES,
        budget=NAMES,
        key_hashes=HASHES,
        requests_per_second=st.floats(0, 1e6),
        max_concurrency=WHOLE,
        priority=PRIORITIES,
    ),
    st.builds(
        ServiceRow,
        name=NAMES,
        protocol=st.sampled_from(["completion", "plain"]),
        price_input=WHOLE,
        repeatable=st.booleans(),
        may_wait=st.booleans(),
        priority=PRIORITIES,
    ),
    st.builds(UpstreamRow, name=NAMES, weight=st.floats(0, 1e6), enabled=st.booleans()),
    st.builds(OperatorRow, name=NAMES, role=st.sampled_from(["reader", "editor"])),
)


@when("any valid rows are written as CSV and read again")
def csv_round_trip(context):
    @for_all(st.lists(ROWS, max_size=5, unique_by=lambda row: row.identity))
    def check(rows):
        read = rows_from_csv(rows_to_csv(rows))
        assert sorted(read, key=repr) == sorted(rows, key=repr)

    context.check = check


@when("any text is read as a table")
def any_text(context):
    cells = st.one_of(st.text(max_size=8), st.sampled_from(["budget", "service", "b", "1", "=x"]))
    lines = st.lists(st.lists(cells, min_size=1, max_size=4).map(",".join), max_size=4)

    @for_all(st.sampled_from(["", "kind,name,limit\n"]), lines)
    def check(header, body):
        try:
            rows_from_csv(header + "\n".join(body))
        except AspengateError as error:
            assert error.kind is ErrorKind.BAD_REQUEST
            assert error.where

    context.check = check


@when('the table "{text}" is read')
def read_table(context, text):
    try:
        rows_from_csv(text.replace(";", "\n") + "\n")
    except AspengateError as error:
        context.error = error


@then('the error names "{place}"')
def error_names_place(context, place):
    assert context.error.kind is ErrorKind.BAD_REQUEST
    assert context.error.where == place, context.error.where


VALID_SETTINGS = {
    "instance": {
        "name": "router-1",
        "listen": "127.0.0.1:8080",
        "peer_listen": "127.0.0.1:8081",
        "region": "north",
        "failure_domain": "hall-1",
    },
    "platform": {"store": "127.0.0.1:1", "instances": "127.0.0.1:2"},
    "fleet": {"secrets": "s"},
}


@when('a router\'s settings have "{line}" in "{section}"')
def bad_settings(context, line, section):
    key, _, value = (part.strip() for part in line.partition("="))
    values = {name: dict(keys) for name, keys in VALID_SETTINGS.items()}
    values[section][key] = value
    text = "\n".join(
        f"[{name}]\n" + "\n".join(f"{key} = {value}" for key, value in keys.items())
        for name, keys in values.items()
    )
    with tempfile.TemporaryDirectory() as folder:
        path = Path(folder) / "router.ini"
        path.write_text(text)
        context.path = path
        try:
            load_settings(RouterSettings, path)
        except AspengateError as error:
            context.error = error


@then('loading fails with the location "{place}"')
def loading_fails(context, place):
    assert context.error.kind is ErrorKind.BAD_REQUEST
    assert context.error.where == f"{context.path}: {place}"
    assert context.error.message


@then("every committed page is the one that the code generates")
def generated_pages(context):
    pages = documentation_pages(DOCS)
    assert len(pages) == 3
    for path, text in pages.items():
        assert (DOCS / path).read_text() == text, path


PROGRAM_WITHOUT_LIBRARY = """
import sys
sys.modules[{library!r}] = None
sys.argv = ["aspengate", *{words!r}]
from aspengate.cli import main
main()
"""


@when('"aspengate {command}" is run without "{library}" installed')
def run_without(context, command, library):
    program = PROGRAM_WITHOUT_LIBRARY.format(library=library, words=command.split())
    context.ended = subprocess.run(
        [sys.executable, "-c", program], capture_output=True, text=True, timeout=120
    )


@then('it exits with 2 and names the extra "{extra}"')
def names_extra(context, extra):
    assert context.ended.returncode == 2, context.ended
    assert f"aspengate[{extra}]" in context.ended.stderr, context.ended.stderr
    assert "Traceback" not in context.ended.stderr, context.ended.stderr


CHECK_PROGRAM = "import sys; from aspengate.cli import main; sys.argv[1:1] = ['check']; main()"
README = Path(__file__).resolve().parent.parent.parent / "README.md"


@when("the settings file that the README shows is checked")
def check_readme_settings(context):
    lines = README.read_text(encoding="utf-8").splitlines()
    shown = [line[4:] for line in lines if line.startswith("    ")]
    first = shown.index("[instance]")
    last = next(number for number, line in enumerate(shown) if line.startswith("store ="))
    with tempfile.TemporaryDirectory() as folder:
        path = Path(folder) / "first.ini"
        path.write_text("\n".join(shown[first : last + 1]) + "\n", encoding="utf-8")
        context.ended = subprocess.run(
            [sys.executable, "-c", CHECK_PROGRAM, str(path)],
            capture_output=True,
            text=True,
            timeout=120,
        )


@then("it is accepted")
def accepted(context):
    assert context.ended.returncode == 0, context.ended
    assert "accepted" in context.ended.stdout, context.ended

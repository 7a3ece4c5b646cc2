"""Prints one sample of each message and record as a build writes it: python write.py SOURCE.

It uses only the message and record types of a build, so that it runs against any landed build.
"""

import enum
import json
import sys
import types
import typing

import msgspec
from msgspec import inspect

NUMBER, TEXT = 7, "text"


def sample(kind):
    """Return a value of a type with every field set to a value other than its default."""
    match kind:
        case inspect.StructType():
            names = {field.name: sample(field.type) for field in kind.fields}
            return kind.cls(**names)
        case inspect.DictType():
            return {sample(kind.key_type): sample(kind.value_type)}
        case inspect.ListType() | inspect.VarTupleType():
            made = [sample(kind.item_type)]
            return made if isinstance(kind, inspect.ListType) else tuple(made)
        case inspect.UnionType():
            return sample(next(each for each in kind.types if not is_none(each)))
        case inspect.EnumType():
            return next(iter(kind.cls))
        case inspect.BoolType():
            return True
        case inspect.IntType() | inspect.FloatType():
            return NUMBER
        case inspect.BytesType():
            return b"bytes"
        case inspect.StrType():
            return TEXT
    raise TypeError(kind)


def is_none(kind):
    return isinstance(kind, inspect.NoneType)


def datagrams():
    """Return the datagram types of the build."""
    from aspengate.peers import _messages

    return typing.get_args(_messages.Datagram)


def records():
    """Return the types of the build's records in the store, by name."""
    from aspengate.allowances._document import AllowanceDocument
    from aspengate.peers._members import Member

    found = {"account": AllowanceDocument, "member": Member}
    try:
        from aspengate.crashes._record import CrashRecord
    except ImportError:
        return found
    found["crash"] = CrashRecord
    try:
        from aspengate.rollouts import RolloutDocument
    except ImportError:
        return found
    return {**found, "rollout": RolloutDocument}


def answers():
    """Return the types of the build's HTTP responses between routers, by name."""
    from aspengate.peers import _exchange

    names = {"mirror": "_MirrorBody", "ceilings": "_CeilingsBody"}
    return {name: kind for name, each in names.items() if (kind := getattr(_exchange, each, None))}


def written():
    """Return an encoded sample of each type in hexadecimal, by its place and name."""
    packed, text = msgspec.msgpack.encode, msgspec.json.encode
    return {
        "datagrams": {
            str(kind.__struct_config__.tag): packed(make(kind)).hex() for kind in datagrams()
        },
        "records": {name: text(make(kind)).hex() for name, kind in records().items()},
        "answers": {name: packed(make(kind)).hex() for name, kind in answers().items()},
    }


def make(kind: type | types.UnionType):
    return sample(inspect.type_info(kind))


class Unreadable(enum.Enum):
    """The result for a sample that a build cannot read."""

    UNREADABLE = "unreadable"


def read(lines):
    """Return the decoded samples of another build, or UNREADABLE for each that cannot be read."""
    kinds = {"records": records(), "answers": answers()}
    found = {}
    for place, samples in lines.items():
        found[place] = {}
        for name, data in samples.items():
            found[place][name] = read_one(place, kinds.get(place, {}).get(name), data)
    return found


def read_one(place, kind, data):
    from aspengate.peers import _messages

    try:
        if place == "datagrams":
            value = msgspec.msgpack.decode(bytes.fromhex(data), type=_messages.Datagram)
        elif kind is None:
            return Unreadable.UNREADABLE.value
        elif place == "records":
            value = msgspec.json.decode(bytes.fromhex(data), type=kind)
        else:
            value = msgspec.msgpack.decode(bytes.fromhex(data), type=kind)
    except msgspec.MsgspecError:
        return Unreadable.UNREADABLE.value
    return msgspec.to_builtins(value)


def main():
    """Print the samples of a build, or with ``read`` its decoding of those on standard input."""
    sys.path.insert(0, sys.argv[1])
    result = read(json.load(sys.stdin)) if sys.argv[2:] == ["read"] else written()
    json.dump(result, sys.stdout, indent=1, sort_keys=True)


if __name__ == "__main__":
    main()

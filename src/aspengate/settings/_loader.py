"""Loads an INI file into a data class whose fields declare how each setting is parsed."""

import configparser
import dataclasses
import ipaddress
from collections.abc import Callable, Mapping
from pathlib import Path
from typing import Any, TypeVar

from aspengate.errors import AspengateError, ErrorKind

_Settings = TypeVar("_Settings")
_PORTS = range(0, 65_536)


@dataclasses.dataclass(frozen=True)
class SettingField:
    """Describes one setting: its section and key, its parser and its documentation."""

    section: str
    key: str
    parse: Callable[[str], Any]
    accepts: str
    unit: str
    description: str
    default: Any


def setting(
    section: str,
    parse: Callable[[str], Any],
    description: str,
    *,
    accepts: str,
    unit: str = "",
    default: Any = dataclasses.MISSING,
) -> Any:
    """Declare a field of a settings class; it is required if it has no ``default``.

    ``accepts`` and ``description`` give the accepted values and the meaning for the documentation.
    """
    metadata = {
        "section": section,
        "parse": parse,
        "accepts": accepts,
        "unit": unit,
        "description": description,
    }
    return dataclasses.field(default=default, metadata=metadata)


def address(text: str) -> str:
    """Check that ``text`` is ``IP:port`` and return it; raises ValueError."""
    host, _, port = text.rpartition(":")
    ipaddress.ip_address(host.strip("[]"))
    if int(port) not in _PORTS:
        raise ValueError(text)
    return text


def names(text: str) -> tuple[str, ...]:
    """Return the values of a comma-separated list; raises ValueError if it is empty."""
    found = tuple(part.strip() for part in text.split(",") if part.strip())
    if not found:
        raise ValueError(text)
    return found


def fields_of(settings_type: type[Any]) -> tuple[SettingField, ...]:
    """Return the settings that a settings class declares."""
    return tuple(
        SettingField(
            section=field.metadata["section"],
            key=field.name,
            parse=field.metadata["parse"],
            accepts=field.metadata["accepts"],
            unit=field.metadata["unit"],
            description=field.metadata["description"],
            default=field.default,
        )
        for field in dataclasses.fields(settings_type)
    )


def read_sections(path: Path) -> dict[str, dict[str, str]]:
    """Return the values of an INI file by section and key.

    Raises AspengateError of kind BAD_REQUEST if the file can't be read or parsed.
    """
    parser = configparser.ConfigParser(interpolation=None)
    try:
        parser.read_string(path.read_text(encoding="utf-8"), source=str(path))
    except (OSError, UnicodeDecodeError, configparser.Error) as error:
        message = " ".join(str(error).split())
        raise AspengateError(ErrorKind.BAD_REQUEST, message, where=str(path)) from error
    return {section: dict(parser[section]) for section in parser.sections()}


def load_settings(settings_type: type[_Settings], path: Path) -> _Settings:
    """Load and validate a settings file.

    Raises AspengateError of kind BAD_REQUEST that names the file, section, key and accepted values.
    """
    sections = read_sections(path)
    fields = {(field.section, field.key): field for field in fields_of(settings_type)}
    for section, values in sections.items():
        for key in values:
            if (section, key) not in fields:
                raise _error(path, section, key, "there is no such setting")
    return settings_type(
        **{field.key: _parse_value(field, sections, path) for field in fields.values()}
    )


def settings_page(title: str, settings_type: type[Any]) -> str:
    """Return the documentation of a settings class as a Markdown section with a table."""
    lines = [
        f"## {title}",
        "",
        "| section | key | accepts | unit | default | meaning |",
        "|---|---|---|---|---|---|",
    ]
    for field in fields_of(settings_type):
        default = (
            "needed" if field.default is dataclasses.MISSING else f"`{_format_default(field)}`"
        )
        lines.append(
            f"| {field.section} | {field.key} | {field.accepts} | {field.unit or '-'} "
            f"| {default} | {field.description} |"
        )
    return "\n".join(lines) + "\n"


def _format_default(field: SettingField) -> str:
    if isinstance(field.default, tuple):
        return ", ".join(field.default)
    return str(field.default) if field.default != "" else " "


def _parse_value(field: SettingField, sections: Mapping[str, Mapping[str, str]], path: Path) -> Any:
    text = sections.get(field.section, {}).get(field.key)
    if text is None or not text.strip():
        if field.default is dataclasses.MISSING:
            raise _error(path, field.section, field.key, f"is needed: {field.accepts}")
        return field.default
    try:
        return field.parse(text.strip())
    except ValueError:
        raise _error(
            path, field.section, field.key, f"{text!r} is not accepted: {field.accepts}"
        ) from None


def _error(path: Path, section: str, key: str, message: str) -> AspengateError:
    return AspengateError(ErrorKind.BAD_REQUEST, message, where=f"{path}: [{section}] {key}")

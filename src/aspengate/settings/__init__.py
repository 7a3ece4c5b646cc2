"""Loads the settings of the daemons from INI files and validates them before a daemon starts."""

from aspengate.settings._common import number, whole_number
from aspengate.settings._loader import (
    SettingField,
    address,
    fields_of,
    load_settings,
    names,
    read_sections,
    setting,
    settings_page,
)

__all__ = [
    "SettingField",
    "address",
    "fields_of",
    "load_settings",
    "names",
    "number",
    "read_sections",
    "setting",
    "settings_page",
    "whole_number",
]

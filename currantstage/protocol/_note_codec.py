"""Parse and encode release notes, in INI or JSON."""

from __future__ import annotations

import configparser
import hashlib
import math
from typing import Any

import msgspec

from currantstage.protocol._errors import NoteSyntaxError
from currantstage.state import ReleaseNote
from currantstage.util import UndecodableError, decode_json

#: Maximum size of a release note, in bytes.
MAX_NOTE_BYTES = 4 * 1024 * 1024

_FIELD_OF_VERB = {"add": "added", "change": "changed", "withdraw": "withdrawn"}
_KINDS = ("pool", "vm", "team", "key", "queue", "wave")


def parse_note(text: str) -> ReleaseNote:
    r"""Parse the release note in `text`.

    Text whose first character other than white space is a brace is JSON, other text
    is INI.

    Raises
    ------
    NoteSyntaxError
        With every fault that can be found, each with its location.

    Examples
    --------
    >>> note = parse_note("[note]\nid = n1\n[withdraw key k1]\n")
    >>> note.withdrawn.keys
    ('k1',)
    """
    try:
        size_bytes = len(text.encode())
    except UnicodeEncodeError as error:
        raise NoteSyntaxError((f"not Unicode text: {error}",)) from error
    if size_bytes > MAX_NOTE_BYTES:
        raise NoteSyntaxError((f"longer than {MAX_NOTE_BYTES} bytes",))
    if text.lstrip().startswith("{"):
        return _parse_json(text)
    return _parse_ini(text)


def encode_note(note: ReleaseNote) -> bytes:
    """Return the canonical encoding of `note`."""
    return msgspec.json.encode(note, order="sorted")


def note_digest(note: ReleaseNote) -> str:
    """Return the SHA-256 of the canonical encoding, in hexadecimal."""
    return hashlib.sha256(encode_note(note)).hexdigest()


def _parse_json(text: str) -> ReleaseNote:
    try:
        return decode_json(text, ReleaseNote)
    except UndecodableError as error:
        raise NoteSyntaxError((str(error),)) from error


def _parse_ini(text: str) -> ReleaseNote:
    # There is no default section: every other section would inherit its keys.
    parser = configparser.ConfigParser(
        interpolation=None, strict=True, default_section=""
    )
    try:
        parser.read_string(text)
    except configparser.Error as error:
        raise NoteSyntaxError((" ".join(str(error).split()),)) from error
    faults: list[str] = []
    records: dict[str, dict[str, list[Any]]] = {
        field: {} for field in _FIELD_OF_VERB.values()
    }
    header = _parse_header(parser, faults)
    for section in parser.sections():
        if section != "note":
            _parse_section(section, parser, records, faults)
    if faults:
        raise NoteSyntaxError(tuple(faults))
    return msgspec.convert({**header, **records}, ReleaseNote, strict=False)


def _parse_header(
    parser: configparser.ConfigParser, faults: list[str]
) -> dict[str, str]:
    if not parser.has_section("note"):
        faults.append("[note]: the section is missing")
        return {}
    values = dict(parser["note"])
    header = {"note_id": values.pop("id", "")}
    if not header["note_id"]:
        faults.append("[note] id: a value is missing")
    lease_s = values.pop("config_lease_s", None)
    if lease_s is not None:
        header["config_lease_s"] = lease_s
        _validate_value("[note] config_lease_s", lease_s, float, faults)
    faults.extend(f"[note] {name}: unknown key" for name in values)
    return header


def _parse_section(
    section: str,
    parser: configparser.ConfigParser,
    records: dict[str, dict[str, list[Any]]],
    faults: list[str],
) -> None:
    words = section.split()
    if len(words) != 3 or words[0] not in _FIELD_OF_VERB or words[1] not in _KINDS:
        faults.append(f"[{section}]: not 'add|change|withdraw KIND ID'")
        return
    verb, kind, item_id = words
    items = records[_FIELD_OF_VERB[verb]].setdefault(f"{kind}s", [])
    values = dict(parser[section])
    if verb == "withdraw":
        faults.extend(f"[{section}] {name}: takes no keys" for name in values)
        items.append(item_id)
        return
    record_type = _record_type(verb, kind)
    if record_type is None:
        faults.append(f"[{section}]: a {kind} can't be changed")
        return
    items.append(_parse_record(section, kind, item_id, values, record_type, faults))


def _record_type(verb: str, kind: str) -> type[msgspec.Struct] | None:
    """Return the record type of the sections with one verb and kind, if any."""
    field_type = _struct_fields(ReleaseNote)[_FIELD_OF_VERB[verb]].type
    collection = _struct_fields(field_type).get(f"{kind}s")
    return None if collection is None else collection.type.__args__[0]


def _struct_fields(struct: Any) -> dict[str, msgspec.structs.FieldInfo]:
    return {info.name: info for info in msgspec.structs.fields(struct)}


def _parse_record(
    section: str,
    kind: str,
    item_id: str,
    values: dict[str, str],
    record_type: type[msgspec.Struct],
    faults: list[str],
) -> dict[str, Any]:
    fields = _struct_fields(record_type)
    id_field = f"{kind}_id"
    record: dict[str, Any] = {id_field: item_id}
    for name, text in values.items():
        if name not in fields or name == id_field:
            faults.append(f"[{section}] {name}: unknown key")
            continue
        info = fields[name]
        value = [word.strip() for word in text.split(",")] if name == "pools" else text
        _validate_value(f"[{section}] {name}", value, info.type, faults)
        record[name] = value
    faults.extend(
        f"[{section}] {name}: a value is missing"
        for name, info in fields.items()
        if info.required and name not in record
    )
    return record


def _validate_value(
    location: str, value: Any, expected: Any, faults: list[str]
) -> None:
    try:
        converted = msgspec.convert(value, expected, strict=False)
    except msgspec.ValidationError as error:
        faults.append(f"{location}: {error}")
        return
    # Notes are stored as JSON, which can't represent infinity and NaN.
    if isinstance(converted, float) and not math.isfinite(converted):
        faults.append(f"{location}: not a finite number")

"""Check of texts from others that are sent on in a header."""

from __future__ import annotations


def is_header_text(text: str) -> bool:
    r"""Return whether a header has `text` as its value unchanged.

    Control characters other than a tab can't be sent in a header, and white space
    around a value is dropped.

    >>> is_header_text("i-7f3a91c2"), is_header_text("i-7f3a91c2\n")
    (True, False)
    """
    is_sendable = text.replace("\t", " ").isprintable()
    return is_sendable and text == text.strip() and text != ""

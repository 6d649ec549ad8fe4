"""Check of texts from others that are sent on in a header."""

from __future__ import annotations


def is_header_text(text: str) -> bool:
    r"""Return whether a header has `text` as its value unchanged.

    Control characters can't be sent in a header, and spaces around a value are dropped.

    >>> is_header_text("i-7f3a91c2"), is_header_text("i-7f3a91c2\n")
    (True, False)
    """
    return text.isprintable() and text == text.strip() and text != ""

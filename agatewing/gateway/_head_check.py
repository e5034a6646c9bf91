"""Checks of a request's raw head that the HTTP library does not make.

A parser in front and one behind that read the same bytes differently let
a request be smuggled inside another one. Whatever could be read in two
ways is refused: bare CR or LF, folded lines, two kinds of framing.
"""

import re

#: End of a head.
END = b"\r\n\r\n"
#: A line end that is not CR LF, or a NUL.
_BARE = re.compile(rb"\r(?!\n)|(?<!\r)\n|\x00")
#: A header line that goes on in the next one.
_FOLDED = re.compile(rb"\r\n[ \t]")
#: A header line without a proper name directly before its colon.
_NO_NAME = re.compile(rb"\r\n(?![!#$%&'*+.^_`|~0-9A-Za-z-]+:)[^\r]")
_LENGTH = re.compile(rb"\r\ncontent-length:[ \t]*([^\r]*)", re.IGNORECASE)
_CODING = re.compile(rb"\r\ntransfer-encoding:[ \t]*([^\r]*)", re.IGNORECASE)
_HOST = re.compile(rb"\r\nhost:", re.IGNORECASE)
_START = re.compile(rb"\A[!#$%&'*+.^_`|~0-9A-Za-z-]+ [!-~]+ HTTP/1\.[01]\r\n")


def fault(head: bytes) -> str | None:
    """Return what is wrong with a head, ``None`` if nothing is.

    ``head`` ends with its empty line.
    """
    if _BARE.search(head):
        return "a line of the head does not end with CR LF"
    if not _START.match(head):
        return "the request line is malformed"
    fields = head[: -len(END) + 2]
    if _FOLDED.search(fields):
        return "a header is folded over two lines"
    if _NO_NAME.search(fields):
        return "a header has no proper name"
    return _framing_fault(fields)


def _framing_fault(fields: bytes) -> str | None:
    """Return what is wrong with the length of the body."""
    lengths = _LENGTH.findall(fields)
    codings = _CODING.findall(fields)
    if len(lengths) + len(codings) > 1:
        return "the length of the body is given more than once"
    if lengths and not lengths[0].strip(b" \t").isdigit():
        return "Content-Length is not a number"
    if codings and codings[0].strip(b" \t").lower() != b"chunked":
        return "only the transfer coding chunked is understood"
    if len(_HOST.findall(fields)) != 1:
        return "a request names exactly one host"
    return None
